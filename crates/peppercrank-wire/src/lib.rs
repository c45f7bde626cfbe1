// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Adapters of sockets and clocks: HTTP edges, the platform's client, control calls, gossip datagrams.
