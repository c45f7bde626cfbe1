// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Datagrams of other routers that are cut at any byte.

use peppercrank_direct::confirm::Confirmation;
use peppercrank_direct::confirm::ConfirmationRequest;
use peppercrank_direct::origins::OriginReport;
use peppercrank_direct::origins::SoftwareVersion;
use peppercrank_direct::origins::StreamId;
use peppercrank_direct::peers::Datagram;
use peppercrank_direct::peers::PrefixHint;
use peppercrank_direct::peers::Summary;
use peppercrank_direct::peers::TargetId;
use peppercrank_direct::peers::Work;

/// Guards against a part of a datagram that counts, such as a summary without some of its work.
#[test]
fn verify_no_part_of_a_datagram_counts() {
    let target = TargetId(7);
    let datagrams = [
        Datagram::Summary(Summary {
            incarnation: 1_700_000_000_000,
            sequence: 300,
            work: vec![Work {
                target,
                in_flight: 3,
                prefill_tokens: 4_000,
            }],
            hints: vec![PrefixHint {
                target,
                prefix_hash: u64::MAX,
            }],
        }),
        Datagram::ConfirmationRequest(ConfirmationRequest { nonce: u64::MAX }),
        Datagram::Confirmation(Confirmation {
            nonce: 9,
            version: 600,
            age_ms: 700,
            evacuations_digest: 800,
        }),
        Datagram::Origins(vec![OriginReport {
            stream: StreamId(u64::MAX),
            version: SoftwareVersion::of("pool", "v1"),
            kept_ms: 60_000,
        }]),
        Datagram::OriginQuery(StreamId(300)),
        Datagram::OriginUnknown(StreamId(300)),
        Datagram::Leaving(vec![target, TargetId(u32::MAX)]),
    ];
    for mut datagram in datagrams {
        let bytes = datagram.encode().expect("a datagram");
        assert_eq!(Datagram::decode(&bytes).expect("a datagram"), datagram);
        for cut in 0..bytes.len() {
            Datagram::decode(&bytes[..cut]).expect_err("a part of a datagram");
        }
    }
}
