// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! A router fleet for very many returning chats to shared model engines, as a library.
//!
//! Each family of parts is a crate of its own, re-exported here by feature. All but `wire` are
//! sans-I/O: the time and the messages go in, actions come out. Whoever embeds them owns the
//! clock, the sockets and the random seed; `examples/embed.rs` is a small fleet of function calls
//! in virtual time.
//!
//! | feature | module | what it decides | default |
//! | --- | --- | --- | --- |
//! | | [`core`] | shared names, keys, time, units, refusals, events, the blackboard | always |
//! | `route` | [`route`] | where a request goes, and what follows a refusal | yes |
//! | `admit` | [`admit`] | what runs on a target, what waits, what is refused | yes |
//! | `member` | [`member`] | who lives, and the mean load | yes |
//! | `config` | [`config`] | which configuration is in force | yes |
//! | `lease` | [`lease`] | who may give orders, and which request may run once | yes |
//! | `wire` | `wire` | nothing: sockets, HTTP, the platform's API | no |
//!
//! # Rank a chat
//!
//! Every router with the same view of a pool ranks a chat alike, so that it returns to the engine
//! that holds its context whichever router it comes through.
//!
//! ```
//! use peppercrank::core::blackboard::Blackboard;
//! use peppercrank::core::blackboard::Target;
//! use peppercrank::core::blackboard::TargetState;
//! use peppercrank::core::keys::ChatKey;
//! use peppercrank::route::RankKey;
//! use peppercrank::route::Ranking;
//!
//! let mut board = Blackboard::default();
//! for number in 1..=9 {
//!     board.upsert(Target {
//!         name: format!("engine-{number}").parse()?,
//!         pool: "engines".parse()?,
//!         vm: format!("vm-{number}").parse()?,
//!         zone: "rae".parse()?,
//!         address: ([127, 0, 0, 1], 7_000 + number).into(),
//!         weight: 100,
//!         state: TargetState::Live,
//!     });
//! }
//! let pool = "engines".parse()?;
//! let chat = RankKey::of(ChatKey::derive("kalev", "chat-1"), None);
//! let home = Ranking::of_pool(&board, &pool).home(chat).expect("a pool with live targets");
//!
//! // The home leaves: the second of before is the new home, and no other chat moves.
//! let second = Ranking::of_pool(&board, &pool).first(chat, 2)[1];
//! board.targets[home].state = TargetState::Leaving;
//! assert_eq!(Ranking::of_pool(&board, &pool).home(chat), Some(second));
//! # Ok::<(), peppercrank::core::Error>(())
//! ```
//!
//! # Admit a request
//!
//! One [`admit::Admission`] decides for one target. It refuses what would lift the target above its
//! cap, and the refusal is true without anybody's agreement.
//!
//! ```
//! use std::time::Duration;
//!
//! use peppercrank::admit::Action;
//! use peppercrank::admit::Admission;
//! use peppercrank::admit::Arrival;
//! use peppercrank::admit::Input;
//! use peppercrank::admit::Settings;
//! use peppercrank::admit::Ticket;
//! use peppercrank::core::keys::AttemptId;
//! use peppercrank::core::objects::Parameters;
//! use peppercrank::core::objects::PoolPolicy;
//! use peppercrank::core::refusal::NotRun;
//! use peppercrank::core::time::Instant;
//! use peppercrank::core::units::Cost;
//!
//! let policy = PoolPolicy {
//!     cap: 1.25,
//!     floor: Cost(4_000),
//!     queue: 16,
//!     wait_ms: 2_000,
//!     prefix: 1_024,
//!     tries: 3,
//!     retries: 0.1,
//! };
//! let parameters = Parameters {
//!     weight: 10,
//!     priority: 5,
//!     limit: Cost(1_000_000),
//!     output: 200,
//!     deadline_ms: 60_000,
//!     models: Vec::new(),
//!     services: Vec::new(),
//! };
//! let now = Instant::ZERO;
//! let mut admission = Admission::new(now, Settings::default(), policy).expect("settings in range");
//! admission.on(now, Input::ParametersChanged("kalev".parse()?, Some(parameters)));
//! // An organisation's limit is shared out over all live targets.
//! admission.on(now, Input::TargetsHeard(1));
//!
//! let arrival = |number| Arrival {
//!     ticket: Ticket(number),
//!     attempt: AttemptId(number.into()),
//!     organisation: "kalev".parse().expect("a name"),
//!     cost: Cost(3_000),
//!     priority: 5,
//!     deadline: now + Duration::from_secs(60),
//!     need: Duration::ZERO,
//!     may_wait: false,
//! };
//! let first = admission.on(now, Input::Arrive(arrival(1)));
//! assert!(matches!(first[..], [Action::Admit { .. }]));
//! let second = admission.on(now, Input::Arrive(arrival(2)));
//! assert!(matches!(second[..], [Action::Refuse { reason: NotRun::OverCap, .. }]));
//!
//! // The first has ended: there is room again.
//! admission.on(now, Input::End(Ticket(1)));
//! let third = admission.on(now, Input::Arrive(arrival(3)));
//! assert!(matches!(third[..], [Action::Admit { .. }]));
//! # Ok::<(), peppercrank::core::Error>(())
//! ```
//!
//! # Know who lives
//!
//! A [`member::Members`] of each process takes datagrams in and gives datagrams out. Here two of
//! them meet in virtual time, where a datagram is there at once; then one falls silent.
//!
//! ```
//! use std::time::Duration;
//!
//! use peppercrank::core::time::Instant;
//! use peppercrank::member::Action;
//! use peppercrank::member::Change;
//! use peppercrank::member::Description;
//! use peppercrank::member::Facts;
//! use peppercrank::member::Input;
//! use peppercrank::member::Local;
//! use peppercrank::member::Members;
//! use peppercrank::member::Role;
//! use peppercrank::member::Seed;
//! use peppercrank::member::SeedRole;
//! use peppercrank::member::Settings;
//!
//! fn describe(number: u16) -> Description {
//!     Description {
//!         vm: format!("entry-{number}").parse().expect("a name"),
//!         zone: "rae".parse().expect("a name"),
//!         gossip: ([127, 0, 0, 1], 7_000 + number).into(),
//!         control: ([127, 0, 0, 1], 7_100 + number).into(),
//!         role: Role::Router,
//!     }
//! }
//!
//! let mut all = [0, 1].map(|number| {
//!     let facts = Facts::default();
//!     let seed = u64::from(number);
//!     let local = Local { description: describe(number), boot: 1, facts, seed };
//!     Members::new(local, Settings::default(), Instant::ZERO)
//! });
//! // The platform's list names the first; the second learns of it from there.
//! let first = describe(0);
//! let listed = Seed {
//!     vm: first.vm,
//!     zone: first.zone,
//!     address: first.gossip,
//!     role: SeedRole::Router,
//!     leaving: false,
//! };
//! let mut todo = Vec::new();
//! for action in all[1].on(Instant::ZERO, Input::Seeds(vec![listed])) {
//!     todo.push((1, action));
//! }
//! let mut heard = Vec::new();
//! for tick in 0..1_200 {
//!     let now = Instant::ZERO + Duration::from_millis(100) * tick;
//!     // The first hears and says nothing from the first minute on.
//!     let silent = tick >= 600;
//!     for who in 0..2 {
//!         todo.extend(all[who].on(now, Input::Tick).into_iter().map(|a| (who, a)));
//!     }
//!     while let Some((who, action)) = todo.pop() {
//!         match action {
//!             Action::Send { message, .. } if !silent => {
//!                 let from = describe(u16::try_from(who).expect("0 or 1")).gossip;
//!                 let came = all[1 - who].on(now, Input::Datagram { from, message });
//!                 todo.extend(came.into_iter().map(|a| (1 - who, a)));
//!             }
//!             Action::Changed { change, .. } if who == 1 => heard.push(change),
//!             _ => {}
//!         }
//!     }
//! }
//! assert_eq!(heard, [Change::Alive, Change::Suspect, Change::Dead]);
//! ```
//!
//! # Merge configuration
//!
//! Versions come by any path, in any order, as often as they like: the highest one that passes its
//! checks is in force, and nothing reverts.
//!
//! ```
//! use peppercrank::config::Object;
//! use peppercrank::config::Store;
//! use peppercrank::config::Version;
//! use peppercrank::config::publish::key;
//! use peppercrank::config::store::Merged;
//! use peppercrank::core::objects::ObjectKind;
//!
//! let template = |version, weight| Object {
//!     key: key(ObjectKind::Template, "standard").expect("a name"),
//!     version: Version(version),
//!     body: Some(
//!         format!(
//!             r#"{{"spec": {{"parameters": {{"weight": {weight}, "priority": 5, "limit": 1000,
//!             "output": 100, "deadline_ms": 60000}}}}}}"#
//!         )
//!         .into(),
//!     ),
//! };
//! let mut store = Store::new();
//! assert_eq!(store.merge(&template(7, 20)), Merged::Applied);
//! assert_eq!(store.merge(&template(3, 10)), Merged::Known);
//! // A weight of 0 is out of range: the last good version stays in force.
//! assert!(matches!(store.merge(&template(9, 0)), Merged::HeldBack(_)));
//!
//! let known = store.template(&"standard".parse()?).expect("a template in force");
//! assert_eq!(known.parameters.weight, 20);
//! # Ok::<(), peppercrank::core::Error>(())
//! ```
//!
//! # Claim a request that must not run twice
//!
//! [`lease::claim::Claims`] asks for calls of the platform's API and is given their answers; whoever
//! drives it makes them. Here the API is a map, which takes a write only on the version that it
//! holds.
//!
//! ```
//! use std::collections::BTreeMap;
//! use std::time::Duration;
//!
//! use peppercrank::core::keys::RequestId;
//! use peppercrank::core::time::Instant;
//! use peppercrank::lease::claim::Action;
//! use peppercrank::lease::claim::Claims;
//! use peppercrank::lease::claim::Input;
//! use peppercrank::lease::claim::Policy;
//! use peppercrank::lease::claim::Verdict;
//! use peppercrank::lease::shard::ClaimKey;
//! use peppercrank::lease::shard::Shard;
//! use peppercrank::lease::store::Answer;
//! use peppercrank::lease::store::Version;
//!
//! type Objects = BTreeMap<u16, (Version, Shard)>;
//!
//! fn claim(claims: &mut Claims, objects: &mut Objects, token: u128) -> Verdict {
//!     let key = ClaimKey::of("kalev", "trolley-7");
//!     let wait = Duration::from_secs(1);
//!     let token = RequestId(token);
//!     let mut todo = claims.on(Instant::ZERO, Input::Claim { key, token, wait });
//!     while let Some(action) = todo.pop() {
//!         let (call, answer) = match action {
//!             Action::Tell { verdict, .. } => return verdict,
//!             Action::Get { call, shard } => match objects.get(&shard).cloned() {
//!                 Some((version, body)) => (call, Answer::Found { version, body }),
//!                 None => (call, Answer::Absent),
//!             },
//!             Action::Put { call, shard, base, body } => {
//!                 let current = objects.get(&shard).cloned();
//!                 if base != current.as_ref().map(|(version, _)| *version) {
//!                     (call, Answer::Conflict { current })
//!                 } else {
//!                     let version = Version(base.map_or(1, |v| v.0 + 1));
//!                     objects.insert(shard, (version, body));
//!                     (call, Answer::Written { version })
//!                 }
//!             }
//!         };
//!         todo.extend(claims.on(Instant::ZERO, Input::Answer { call, answer }));
//!     }
//!     panic!("each claim gets its verdict");
//! }
//!
//! let mut objects = Objects::new();
//! let mut routers = [1, 2].map(|seed| Claims::new(Policy::default(), seed).expect("a policy"));
//! let first = claim(&mut routers[0], &mut objects, 100);
//! assert!(matches!(first, Verdict::Granted { .. }));
//! // The caller sends it again, through another router.
//! assert_eq!(claim(&mut routers[1], &mut objects, 200), Verdict::Begun);
//! ```

pub use peppercrank_core as core;

#[cfg(feature = "admit")]
pub use peppercrank_admit as admit;
#[cfg(feature = "config")]
pub use peppercrank_config as config;
#[cfg(feature = "lease")]
pub use peppercrank_lease as lease;
#[cfg(feature = "member")]
pub use peppercrank_member as member;
#[cfg(feature = "route")]
pub use peppercrank_route as route;
#[cfg(feature = "wire")]
pub use peppercrank_wire as wire;
