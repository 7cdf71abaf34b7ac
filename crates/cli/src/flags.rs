//! Command-line definition.

xflags::xflags! {
    /// The operators' client of yuccaseam.
    cmd yuccaseam {
        /// Instances to call, as ADDRESS,ADDRESS; the first that is reachable is used. Also
        /// YUCCASEAM_SERVER. Default: 127.0.0.1:8480.
        optional --server list: String
        /// Team of the jobs and requests. Also YUCCASEAM_TEAM.
        optional --team name: String
        /// Print the instance's response as JSON.
        optional --json

        /// Instances, leader, targets, jobs and the configuration that each instance runs.
        cmd status {}

        /// The configuration of the whole fleet.
        cmd configuration {
            /// Print the configuration in force.
            default cmd show {}
            /// Apply changes from a JSON file.
            cmd apply {
                /// File with a JSON list of changes; `-` is standard input.
                required file: String
                /// Revision on which the change is based. Default: the one in force.
                optional --expect revision: u64
                /// Author of the change. Default: the environment variable USER.
                optional --author name: String
                /// ID of the change: a retry with this ID has no further effect. Default: random.
                optional --request id: String
            }
            /// Print the history of changes with author and time.
            cmd history {}
            /// Print the changes between two revisions.
            cmd diff {
                /// The older revision.
                required from: u64
                /// The newer revision.
                required to: u64
            }
        }

        /// The exceptions in force with their written reasons, as a page for the payers.
        cmd exceptions {}

        /// Announced targets.
        cmd targets {}

        /// Models served by targets.
        cmd models {}

        /// Batch jobs, newest last.
        cmd jobs {}

        /// One batch job.
        cmd job {
            /// Create a job from a JSON Lines file.
            cmd create {
                /// File with one item per line; `-` is standard input.
                required file: String
                /// Model or plain service that runs the items.
                required --model name: String
                /// Idempotency key: a retry with the same key has no further effect. Default:
                /// random.
                optional --key key: String
                /// Wait until the job has ended.
                optional --wait
            }
            /// Print the state of a job.
            cmd describe {
                /// The job.
                required job: String
            }
            /// Wait until a job has ended.
            cmd wait {
                /// The job.
                required job: String
            }
            /// Cancel a job.
            cmd cancel {
                /// The job.
                required job: String
            }
            /// Print the results as JSON Lines.
            cmd results {
                /// The job.
                required job: String
            }
        }

        /// Orders to targets and their progress.
        cmd orders {}

        /// Give an order to a target.
        cmd order {
            /// Load a model. The leader executes the order, one load per weight store at a time.
            cmd load {
                /// Name of the target.
                required target: String
                /// Name of the model.
                required model: String
                /// Weight store from which the target loads. Default: weights.
                optional --store name: String
            }
        }

        /// Instances that hold the replicated log.
        cmd members {}

        /// Change which instances hold the replicated log, one change at a time.
        cmd member {
            /// Add an instance that has a data folder, as a learner.
            cmd add {
                /// Name of the instance.
                required instance: String
                /// Address of the instance for other daemons.
                required --peer address: String
            }
            /// Promote a learner to voter, once it has synced everything that is committed.
            cmd promote {
                /// Name of the instance.
                required instance: String
            }
            /// Remove an instance.
            cmd remove {
                /// Name of the instance.
                required instance: String
            }
        }

        /// History of a request or batch job and the cause of its end, from log lines.
        cmd explain {
            /// ID of the request or job.
            required id: String
            /// Log files. Default: standard input.
            repeated file: String
        }

        /// Print the state of the whole system as one JSON document.
        cmd export {}
    }
}
