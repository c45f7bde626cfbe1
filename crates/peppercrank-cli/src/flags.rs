// Copyright (c) the peppercrank maintainers.
// SPDX-License-Identifier: MIT OR Apache-2.0

//! The command line's verbs and flags.

use std::net::SocketAddr;
use std::path::PathBuf;

use peppercrank_config::object::PublishId;
use peppercrank_core::names::ModelName;
use peppercrank_core::names::ObjectName;
use peppercrank_core::names::OrganisationName;
use peppercrank_core::names::TargetName;
use peppercrank_settings::BaseUrl;
use peppercrank_settings::Secret;

use crate::words::Assignment;
use crate::words::DaemonKind;
use crate::words::DurationArg;
use crate::words::KindArg;
use crate::words::OrderIdArg;
use crate::words::OutputFormat;
use crate::words::StandinKind;

xflags::xflags! {
    /// Operates a peppercrank router fleet.
    ///
    /// Exit codes: 0 done, 1 failure, 2 usage, 3 conflict, 4 invalid, 5 platform unavailable,
    /// 6 not in force in time, 7 not found, 8 fate of a write unknown, 9 differs (diff only).
    cmd peppercrank {
        /// The platform's API, http://IP[:PORT]; else PEPPERCRANK_PLATFORM.
        optional --platform url: BaseUrl
        /// The platform's bearer token; else PEPPERCRANK_TOKEN, which other users cannot see.
        optional --token token: Secret
        /// Form of the output, text or json; text unless set.
        optional --output form: OutputFormat
        /// Time for reading or writing the platform, with retries; 20s unless set.
        optional --timeout duration: DurationArg
        /// Operators' address of one daemon, repeatable; else PEPPERCRANK_DAEMONS, parted by commas;
        /// else all of the platform's VM list.
        repeated --daemon address: SocketAddr
        /// Port of the operators' pages on the VMs of the list; 7002 unless set.
        optional --operators-port port: u16
        /// Bearer token of the operators' pages; else PEPPERCRANK_OPERATORS_TOKEN.
        optional --operators-token token: Secret

        /// Creates an object from a file of JSON with comments; a conflict if it is there already.
        cmd publish {
            /// template, organisation, pool or mark
            required kind: KindArg
            /// The object's name.
            required name: ObjectName
            /// The file.
            required file: PathBuf
            /// Return once it is in force on every daemon.
            optional --wait
            /// Longest wait for that; 30s unless set.
            optional --within duration: DurationArg
            /// The id of an earlier run whose fate is unknown, to carry the same act through.
            optional --publish-id id: PublishId
        }

        /// Changes an object from a file; a conflict if somebody changed it since it was read.
        cmd revise {
            /// template, organisation, pool or mark
            required kind: KindArg
            /// The object's name.
            required name: ObjectName
            /// The file.
            required file: PathBuf
            /// The version that the file was made from; without it, the current one is replaced
            /// and the fields that change are printed.
            optional --if-version version: u64
            /// Return once it is in force on every daemon.
            optional --wait
            /// Longest wait for that; 30s unless set.
            optional --within duration: DurationArg
            /// The id of an earlier run whose fate is unknown, to carry the same act through.
            optional --publish-id id: PublishId
        }

        /// Publishes every file below DIRECTORY/{pool,template,organisation,mark}, each object named
        /// by its file, once all have passed their checks. What is there and differs is left
        /// alone, with its differences printed and exit code 9, unless --revise is given.
        cmd publish-all {
            /// The directory.
            required directory: PathBuf
            /// Revise what differs.
            optional --revise
            /// Return once all that was written is in force on every daemon.
            optional --wait
            /// Longest wait for that; 30s unless set.
            optional --within duration: DurationArg
        }

        /// Prints an object.
        cmd get {
            /// template, organisation, pool or mark
            required kind: KindArg
            /// The object's name.
            required name: ObjectName
        }

        /// Lists the objects of a kind with their versions.
        cmd list {
            /// template, organisation, pool or mark
            required kind: KindArg
        }

        /// Deletes an object; a conflict if somebody changed it since it was read.
        cmd delete {
            /// template, organisation, pool or mark
            required kind: KindArg
            /// The object's name.
            required name: ObjectName
            /// The version that is meant; without it, the current one.
            optional --if-version version: u64
            /// Return once the deletion is in force on every daemon.
            optional --wait
            /// Longest wait for that; 30s unless set.
            optional --within duration: DurationArg
            /// The id of an earlier run whose fate is unknown, to carry the same act through.
            optional --publish-id id: PublishId
        }

        /// Compares a file with the object on the platform; exit code 9 if they differ.
        cmd diff {
            /// template, organisation, pool or mark
            required kind: KindArg
            /// The object's name.
            required name: ObjectName
            /// The file.
            required file: PathBuf
        }

        /// Checks a file as publish would, without the platform.
        cmd validate {
            /// template, organisation, pool or mark
            required kind: KindArg
            /// The object's name.
            required name: ObjectName
            /// The file.
            required file: PathBuf
        }

        /// Sets parameters of one organisation; an empty value takes one back to its template's.
        cmd set-organisation {
            /// The organisation's name; it is created when it is new and a template is given.
            required name: OrganisationName
            /// template, weight, priority, limit, output, deadline_ms, models=A,B, services=A,B,
            /// keys=SHA256,SHA256
            repeated parameters: Assignment
            /// The version that the change was decided on; without it, the current one.
            optional --if-version version: u64
            /// Return once it is in force on every daemon.
            optional --wait
            /// Longest wait for that; 30s unless set.
            optional --within duration: DurationArg
            /// The id of an earlier run whose fate is unknown, to carry the same act through.
            optional --publish-id id: PublishId
        }

        /// Prints the parameters of one organisation, and which are its own.
        cmd get-organisation {
            /// The organisation's name.
            required name: OrganisationName
        }

        /// Marks a target as leaving: it takes no new work after a few seconds.
        cmd mark {
            /// The target's name.
            required target: TargetName
            /// Take it out: what still runs after --grace may be ended.
            optional --remove
            /// Shut it down gracefully: what runs goes on to its end.
            optional --shutdown
            /// Time left to what runs, for --remove; 0s unless set.
            optional --grace duration: DurationArg
            /// Return once the mark is in force on every daemon.
            optional --wait
            /// Longest wait for that; 30s unless set.
            optional --within duration: DurationArg
            /// Return once nothing runs on the target any more.
            optional --drained
            /// Longest wait for that; 10m unless set.
            optional --drained-within duration: DurationArg
            /// The id of an earlier run whose fate is unknown, to carry the same act through.
            optional --publish-id id: PublishId
        }

        /// Takes a target's mark back.
        cmd unmark {
            /// The target's name.
            required target: TargetName
            /// Return once that is in force on every daemon.
            optional --wait
            /// Longest wait for that; 30s unless set.
            optional --within duration: DurationArg
            /// The id of an earlier run whose fate is unknown, to carry the same act through.
            optional --publish-id id: PublishId
        }

        /// Gives an order to the engine of one target, or to those of a whole pool, under the
        /// pool's lease; one of --load-model, --load-adapter and --set-role. Exit code 8 if any
        /// engine may have obeyed without an answer, else 3 if any agent knows of a newer
        /// holder, else 1 if any engine did not obey.
        cmd order {
            /// A pool's or a target's name.
            required name: ObjectName
            /// The fleet's keys: a file of JSON with comments, newest key first.
            required --keys file: PathBuf
            /// Load this model.
            optional --load-model model: ModelName
            /// Load this adapter.
            optional --load-adapter adapter: String
            /// Take this role.
            optional --set-role role: String
            /// Longest wait for the lease, and for a number that agents pass; 60s unless set.
            optional --within duration: DurationArg
            /// The id of an earlier run, to learn what became of that order or to give it now.
            optional --order-id id: OrderIdArg
        }

        /// Shows the daemons, their targets, loads and drains, and the configuration in force.
        cmd status {
        }

        /// Prints who holds the room of each pool, as gateways tell it in their metrics: organisations
        /// with demand, share and refusals, and targets with slowdown, memory and failures.
        cmd room {
            /// The metrics address of a gateway, IP:PORT.
            required first: SocketAddr
            /// Those of others.
            repeated others: SocketAddr
        }

        /// Checks all objects on the platform together: what is invalid, what refers to nothing.
        cmd check-objects {
        }

        /// Checks a daemon's settings file; each fault comes with its line and column.
        cmd check-settings {
            /// The file.
            required file: PathBuf
            /// router, agent or gateway; else told by what the file names.
            optional --daemon-kind daemon: DaemonKind
        }

        /// Tells one request's story and its likely cause from the logs of any number of daemons.
        /// Reads each log once, in memory that does not grow with it. Exit code 7 if no line
        /// tells of the request.
        cmd explain {
            /// The request's id, as its caller sent it.
            required id: String
            /// Logs of daemons; standard input without any.
            repeated files: PathBuf
        }

        /// Serves callers until SIGTERM, then ends what is in progress.
        cmd router {
            /// Its settings: a file of JSON with comments.
            required file: PathBuf
        }

        /// Serves as the agent of one target until SIGTERM, then ends what is in progress.
        cmd agent {
            /// Its settings: a file of JSON with comments.
            required file: PathBuf
        }

        /// Serves a whole small fleet with stand-ins in one process, on loopback: routers that send straight to targets.
        cmd local {
            /// Port of the first router, the next ones follow; 8080 unless set, 0 for free ones.
            optional --port port: u16
            /// Routers; 2 unless set.
            optional --routers count: u16
            /// Engines; 3 unless set.
            optional --engines count: u16
            /// Replicas of the plain service; 2 unless set.
            optional --services count: u16
            /// The fleet with an agent beside each target, which the operators' verbs speak to.
            optional --agents
            /// Port of the platform stand-in, with --agents; a free one unless set.
            optional --platform-port port: u16
            /// Time after which it ends with exit code 0; for ever unless set.
            optional --run-time duration: DurationArg
        }

        /// Serves a stand-in of another system, for trials, until SIGTERM.
        cmd standin {
            /// engine, service or platform
            required kind: StandinKind
            /// Its settings: a file of JSON with comments, every field optional.
            required file: PathBuf
        }
    }
}
