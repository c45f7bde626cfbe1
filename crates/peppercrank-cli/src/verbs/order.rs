// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! Sends orders to engines under the lease of their pool.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant as StdInstant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use futures::future::join_all;
use peppercrank_core::names::PoolName;
use peppercrank_core::names::TargetName;
use peppercrank_core::names::VmName;
use peppercrank_core::status::STATUS_PATH;
use peppercrank_core::status::Status;
use peppercrank_core::time::Instant;
use peppercrank_daemon::fleet::rotate::ring_of;
use peppercrank_lease::gate::Command;
use peppercrank_lease::lease::Session;
use peppercrank_lease::store::Version;
use peppercrank_settings::keys;
use peppercrank_wire::control::ControlClient;
use peppercrank_wire::control::ControlClientConfig;
use peppercrank_wire::control::Order;
use peppercrank_wire::seal::Identity;
use peppercrank_wire::seal::KeyRing;
use peppercrank_wire::seal::SenderId;
use serde_json::Value;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::access::Access;
use crate::daemons;
use crate::daemons::PageClient;
use crate::errors::Error;
use crate::errors::Result;
use crate::errors::UsageError;
use crate::fate::OrderOutcome;
use crate::flags;
use crate::holder::Holder;
use crate::remote::PlatformClient;
use crate::report::Report;
use crate::report::row;
use crate::report::table;
use crate::words::OrderIdArg;

/// Default maximum wait for the lease and for an accepted fencing number. An expired lease of
/// another holder can be acquired after 21 s.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time allowed for releasing the lease; if that fails, it expires by itself.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of one order: an agent that has just started may hold it for 17 s, and its engine for 5
/// s.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);

/// Number of concurrent orders. The lease is renewed between two batches.
const MAX_CONCURRENCY: usize = 16;

/// Sequence number; each run sends only one order to an agent.
const SEQ: u64 = 1;

/// Recipients of an order.
struct OrderTargets {
    pool: PoolName,
    /// Each target with the control address of its agent, if known.
    targets: Vec<(TargetName, Option<SocketAddr>)>,
}

/// Sends one order to many agents.
struct OrderSender<C> {
    holder: Holder<C>,
    client: ControlClient,
    runtime: Runtime,
    id: u128,
    order: String,
}

/// Sends an order to one target or to all targets of a pool.
pub(super) fn order(access: &Access, flags: &flags::Order) -> Result<Report> {
    let command = command(flags)?;
    let ring = ring_of(&keys::load(&flags.keys)?).map_err(|e| Error::Daemon(e.into()))?;
    let remote = PlatformClient::new(access)?;
    let found = find_targets(access, flags.name.as_str())?;
    let id = flags.order_id.unwrap_or_else(|| OrderIdArg(rand::random()));
    let start = StdInstant::now();
    let clock = move || Instant::from_origin(start.elapsed());
    let session = Session(rand::random());
    let vm =
        VmName::new(&format!("operator-{:016x}", session.0)).map_err(|_e| Error::Unavailable)?;
    let client = client(&vm, ring);
    let holder = Holder::new(
        remote.into_platform(),
        found.pool.clone(),
        vm,
        session,
        clock,
    );
    let mut sender = OrderSender {
        holder: holder.map_err(|e| Error::Daemon(e.into()))?,
        client,
        runtime: Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(Error::Process)?,
        id: id.0,
        order: json!(command).to_string(),
    };
    let end = Instant::from_origin(flags.within.map_or(DEFAULT_TIMEOUT, |s| s.0));
    let Some(fence) = sender.holder.acquire(end) else {
        sender.holder.release(end + RELEASE_TIMEOUT);
        return Err(lease_error(sender.holder.other_holder()));
    };
    let outcomes = sender.send_all(&found.targets, end);
    let released = sender.holder.release(clock() + RELEASE_TIMEOUT);
    Ok(report(&found, &command, id, fence, &outcomes, released))
}

fn command(flags: &flags::Order) -> Result<Command> {
    let commands = [
        flags.load_model.clone().map(Command::LoadModel),
        flags.load_adapter.clone().map(Command::LoadAdapter),
        flags.set_role.clone().map(Command::SetRole),
    ];
    let mut given = commands.into_iter().flatten();
    match (given.next(), given.next()) {
        (Some(command), None) => Ok(command),
        _ => Err(UsageError::AmbiguousOrderCommand.into()),
    }
}

fn client(vm: &VmName, ring: KeyRing) -> ControlClient {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let boot = u64::try_from(since.unwrap_or_default().as_micros()).unwrap_or(u64::MAX);
    let sender = SenderId::for_vm(vm);
    let times = ControlClientConfig {
        call: CALL_TIMEOUT,
        ..ControlClientConfig::default()
    };
    ControlClient::new(Identity { sender, boot }, ring, times)
}

fn lease_error(other: Option<&VmName>) -> Error {
    match other {
        Some(holder) => Error::LeaseHeld(holder.clone()),
        None => Error::Unavailable,
    }
}

/// Finds targets through the status pages of the daemons. A pool takes precedence over a target of
/// the same name.
fn find_targets(access: &Access, name: &str) -> Result<OrderTargets> {
    let asked = daemons::discover(access)?;
    let answers =
        PageClient::new(access.operators.as_ref()).fetch_all::<Status>(&asked, STATUS_PATH);
    let mut known = BTreeMap::new();
    for status in answers.into_iter().flatten() {
        for target in status.targets {
            // Only the target's own agent reports its load, so only that daemon's control address
            // counts.
            let control = status.control.filter(|_| target.load.is_some());
            let entry = known.entry(target.name).or_insert((target.pool, None));
            entry.1 = entry.1.or(control);
        }
    }
    let of_pool = |(_, (pool, _)): &(&TargetName, &(PoolName, _))| pool.as_str() == name;
    let named = |(target, _): &(&TargetName, &(PoolName, _))| target.as_str() == name;
    let mut chosen = known.iter().filter(of_pool).collect::<Vec<_>>();
    if chosen.is_empty() {
        chosen = known.iter().filter(named).collect();
    }
    let first = chosen
        .first()
        .ok_or_else(|| Error::NoSuchTarget(name.to_owned()))?;
    let pool = first.1.0.clone();
    let targets = chosen.iter().map(|(t, (_, at))| ((*t).clone(), *at));
    Ok(OrderTargets {
        pool,
        targets: targets.collect(),
    })
}

impl<C: Fn() -> Instant> OrderSender<C> {
    /// Sends the order to all targets, and again with a higher fencing number to those whose
    /// agents require one.
    fn send_all(
        &mut self,
        targets: &[(TargetName, Option<SocketAddr>)],
        end: Instant,
    ) -> Vec<OrderOutcome> {
        let mut outcomes = vec![OrderOutcome::NoAgent; targets.len()];
        let mut open = (0..targets.len()).collect::<Vec<_>>();
        loop {
            for batch in open.chunks(MAX_CONCURRENCY) {
                self.holder.renew();
                let sends = batch.iter().map(|at| self.send(targets[*at].1));
                let results = self.runtime.block_on(join_all(sends));
                batch
                    .iter()
                    .zip(results)
                    .for_each(|(at, outcome)| outcomes[*at] = outcome);
            }
            open.retain(|at| matches!(outcomes[*at], OrderOutcome::Stale { .. }));
            let least = open.iter().filter_map(|at| match outcomes[*at] {
                OrderOutcome::Stale { least } => Some(Version(least)),
                _ => None,
            });
            let Some(least) = least.max() else {
                return outcomes;
            };
            if !self.holder.wait_for_fence(least, end) {
                return outcomes;
            }
        }
    }

    /// Sends the order to one agent if the lease is held at that moment.
    async fn send(&self, to: Option<SocketAddr>) -> OrderOutcome {
        let Some(to) = to else {
            return OrderOutcome::NoAgent;
        };
        let Some(fence) = self.holder.fence() else {
            return OrderOutcome::Lapsed;
        };
        let order = Order {
            fence: fence.0,
            id: self.id,
            seq: SEQ,
            order: self.order.clone(),
        };
        OrderOutcome::from_reply(self.client.send_order(to, order).await)
    }
}

fn report(
    found: &OrderTargets,
    command: &Command,
    id: OrderIdArg,
    fence: Version,
    outcomes: &[OrderOutcome],
    released: bool,
) -> Report {
    let pairs = || found.targets.iter().zip(outcomes);
    let mut rows = vec![row(&["TARGET", "OUTCOME"])];
    rows.extend(
        pairs().map(|((target, _), outcome)| row(&[target.as_str(), &outcome.to_string()])),
    );
    let release_text = if released {
        ""
    } else {
        "\nthe lease could not be released and will expire by itself"
    };
    let text = format!(
        "order {id} under the lease of {} with fencing numbers from {}\n{}{release_text}",
        found.pool,
        fence.0,
        table(&rows).trim_end(),
    );
    let targets = pairs().map(|((target, _), outcome)| {
        let mut value = json!(outcome);
        value["target"] = json!(target);
        value
    });
    let json = json!({
        "order": id.to_string(), "command": command, "pool": found.pool, "fence": fence.0,
        "given_back": released, "targets": targets.collect::<Vec<Value>>(),
    });
    Report::with_exit(
        OrderOutcome::worst_exit(outcomes.iter().copied()),
        text,
        json,
    )
}
