// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Small stand-ins of the systems that peppercrank meets: engine, plain service, platform.
