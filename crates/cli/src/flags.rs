//! The command line.

xflags::xflags! {
    /// The operators' client of yuccaseam.
    cmd yuccaseam {
        /// Instances to ask, as ADDRESS,ADDRESS; the first that answers is used. Also
        /// YUCCASEAM_SERVER. Default: 127.0.0.1:8480.
        optional --server list: String
        /// Team whose jobs and requests are meant. Also YUCCASEAM_TEAM.
        optional --team name: String
        /// Print the instance's answer as JSON.
        optional --json

        /// Instances, leader, targets, jobs and the configuration that each instance runs.
        cmd status {}

        /// The configuration of the whole fleet.
        cmd configuration {
            /// Print the configuration in force.
            default cmd show {}
            /// Change the configuration from a JSON file of changes.
            cmd apply {
                /// File with a JSON list of changes; `-` is standard input.
                required file: String
                /// Revision that the change is based on. Default: the one in force.
                optional --expect revision: u64
                /// Who makes the change. Default: the environment variable USER.
                optional --author name: String
                /// Identifies this change: sending it again has no second effect. Default: random.
                optional --request id: String
            }
            /// Print who changed what and when.
            cmd history {}
            /// Print what changed between two revisions.
            cmd diff {
                /// The older revision.
                required from: u64
                /// The newer revision.
                required to: u64
            }
        }

        /// The exceptions in force with their written reasons, as a page for the payers.
        cmd exceptions {}

        /// Targets that announced themselves.
        cmd targets {}

        /// Models that targets serve.
        cmd models {}

        /// Batch jobs, newest last.
        cmd jobs {}

        /// One batch job.
        cmd job {
            /// Create a job from a JSON Lines file.
            cmd create {
                /// File with one item a line; `-` is standard input.
                required file: String
                /// Model or plain service that runs the items.
                required --model name: String
                /// Idempotency key: sending the job again has no second effect. Default: random.
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
            /// Stop a job.
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

        /// Orders to targets and how far they have come.
        cmd orders {}

        /// Give an order to a target.
        cmd order {
            /// Load a model. The leader carries it out, one load a weight store at a time.
            cmd load {
                /// Name of the target.
                required target: String
                /// Name of the model.
                required model: String
                /// The weight store that the target loads from. Default: weights.
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
                /// Its address for other daemons.
                required --peer address: String
            }
            /// Make a learner a voter, once it has synced everything that is committed.
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

        /// The story of one request or batch job, from log lines, and its cause.
        cmd explain {
            /// Id of the request or job.
            required id: String
            /// Files with the lines of some processes. Default: standard input.
            repeated file: String
        }

        /// Print the state of the whole system as one JSON document.
        cmd export {}
    }
}
