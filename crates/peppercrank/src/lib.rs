// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A router fleet for very many returning chats: the library, re-exported by feature.
