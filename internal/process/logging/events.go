package logging

import "go.uber.org/zap/zapcore"

// Events of the process as a whole: 1000 to 1009.
var (
	ProcessStarted = define(1001, zapcore.InfoLevel, "process started",
		"The daemon has read its settings and listens on its address.")
	ProcessStopping = define(1002, zapcore.InfoLevel, "process stopping",
		"A termination signal arrived. The daemon rejects new work and finishes the work in flight.")
	ProcessStopped = define(1003, zapcore.InfoLevel, "process stopped",
		"The process exits. Without the field error, all work is finished and all connections are closed; with it, work may be unfinished.")
	LoopbackOnly = define(1004, zapcore.WarnLevel, "authentication not configured: listening on loopback only",
		"Set token_file and key_file in the section [process] to accept connections from other machines.")
	UnexpectedFault = define(1005, zapcore.ErrorLevel, "unexpected fault",
		"One request, session or call ended by a programming fault, whose place the field error names; others are not affected. The request or call may have been carried out. Report it as a bug.")
)

// Events of the settings file: 1010 to 1019.
var (
	SettingsReloaded = define(1010, zapcore.InfoLevel, "settings reloaded",
		"The file has changed or SIGHUP arrived. Changes of control_seeds take effect at once, all others at the next start.")
	SettingsRejected = define(1011, zapcore.ErrorLevel, "changed settings rejected",
		"The changed file has an error; the process keeps its current settings. Correct the file.")
)

// Events of the limits on HTTP clients: 1050 to 1059. Each is logged at most once in 10 s for a listener and a cause, with
// the count of its occurrences since then, and contains nothing that a client sent.
var (
	RequestsRefused = define(1050, zapcore.WarnLevel, "requests refused by a limit",
		"Clients of the listener exceed a limit: the field cause is too_large (body or headers), slow (body below the minimum rate), timeout (headers or first bytes), or unavailable (connections or bytes in use). Nothing of these requests was run. Find the clients; raise the limit (docs/settings.md) if they are legitimate.")
	ConnectionsClosed = define(1051, zapcore.WarnLevel, "connections closed by a limit",
		"The listener has its maximum of connections. The field cause is replaced (the oldest connection without a complete request, or the oldest idle one, was closed for a new one), connections (the new one was closed, because all others are in use) or address (one address has its maximum).")
	AcceptFailed = define(1052, zapcore.ErrorLevel, "cannot accept a connection",
		"The process or the machine has no free descriptors or no memory for a connection. The process closes an unused connection and tries again. Raise the limit on descriptors, or lower max_connections.")
	ClientConnectionFailed = define(1053, zapcore.InfoLevel, "connection of a client failed",
		"The HTTP library reports a connection that ended by an error; the field cause is its message without what the client sent.")
)

// Events of an agent's sessions with entries: 1100 to 1199.
var (
	SessionOpened = define(1101, zapcore.InfoLevel, "session opened",
		"A session of this agent with an entry is open.")
	SessionClosed = define(1102, zapcore.InfoLevel, "session closed",
		"A session of this agent with an entry ended; the field error gives the reason. Until it has drained, the agent dials the entry again while it keeps sessions with that entry.")
	SessionRetired = define(1103, zapcore.InfoLevel, "session retired",
		"The list of entries has changed, and this agent keeps sessions with other entries instead (entry_sessions). Nothing of the entry was left here, and the session is closed.")
)

// Events of the control role and of the processes that receive the configuration from it: 1200 to
// 1249.
var (
	FeedGroupMismatch = define(1201, zapcore.ErrorLevel, "control member belongs to another group",
		"The control members were set up again as a new group while this process ran, and their revisions cannot be compared with those that it knows. Restart this process, or correct control_members.")
	FeedRejected = define(1202, zapcore.ErrorLevel, "configuration from a control member rejected",
		"A control member sent a configuration that this process cannot read. Run the same release on all processes.")
	ControlRoleChanged = define(1203, zapcore.InfoLevel, "role of control member changed",
		"The field role is the new role of the member; the field leader names the leader.")
	ControlStorageFailed = define(1204, zapcore.ErrorLevel, "control member cannot write to its data folder",
		"The write is retried. Free space on the disk or repair it; until then the member acknowledges nothing.")
	EntryJoined = define(1205, zapcore.InfoLevel, "entry joins the configuration",
		"An entry has a session with this control member, which proposes to add it to the list of entries in the configuration.")
	EntryLeft = define(1206, zapcore.InfoLevel, "entry leaves the configuration",
		"An entry is draining, or has had no session with any control member for entry_timeout. The control member proposes to remove it from the list of entries.")
	DuplicateEntryID = define(1207, zapcore.ErrorLevel, "two processes use the same entry id",
		"The listed entry still has a session, so the second process is not admitted. Give each process its own id.")
	AutomaticChangeFailed = define(1208, zapcore.WarnLevel, "automatic change of the configuration failed",
		"A change of the list of entries or availability zones, which the control role makes itself, was rejected or found no majority; it is retried.")
	ControlDepartedAsMember = define(1209, zapcore.WarnLevel, "control member ends without a replacement",
		"The process ends, but the leader has not confirmed that another process has taken its place. The member is replaced once it has been unresponsive for 3 s. Stop no further control member until pollenpaddle member list shows only running voters.")
)

// Events of operator requests that arrive through a protocol other than that of docs/api.md: 1250 to
// 1299.
var (
	OperatorRequestAcknowledged = define(1251, zapcore.InfoLevel, "operator request acknowledged",
		"A change of the configuration is on the disks of a majority and will not be lost, or is not newer than the current configuration.")
	OperatorRequestNotAcknowledged = define(1252, zapcore.InfoLevel, "operator request not acknowledged",
		"The request is invalid, or could not be confirmed in time and may be resent; the field error gives the reason.")
	OperatorRequestRedirected = define(1253, zapcore.InfoLevel, "operator request redirected",
		"A request without a version was redirected to a path with a revision and changed nothing yet; it is carried out when the operator follows.")
)

// Events of the entry role: 1300 to 1349.
var (
	EntryPeerConnected = define(1301, zapcore.InfoLevel, "entry connected",
		"A session with another entry is open; it carries claims and queries about jobs.")
	EntryPeerLost = define(1302, zapcore.WarnLevel, "connection to entry lost",
		"The session with another entry ended. If it is not opened again soon, jobs that the entry owns are reported as failed.")
	ClaimFailed = define(1303, zapcore.InfoLevel, "claim failed",
		"A submission was rejected because its id could not be claimed; the field error gives the reason.")
	JobOwnerLost = define(1304, zapcore.WarnLevel, "owner of a job lost",
		"The entry that owned the job has stopped or cannot be reached. The job is reported as failed; its tasks may have run.")
	EntryDraining = define(1305, zapcore.InfoLevel, "entry draining",
		"The entry rejects new submissions and finishes the jobs that it owns.")
	EntryDrained = define(1306, zapcore.InfoLevel, "entry drained",
		"Every job has ended and every response is ready. The last responses are sent before the process exits.")
)

// Events of restartable jobs at entries: 1350 to 1399.
var (
	JobCompleted = define(1351, zapcore.InfoLevel, "restartable job completed",
		"Every task has completed. The field age is the time since the caller's wait began, objective the estimated response-time objective, and orders the number of runs ordered.")
	JobNotCompleted = define(1352, zapcore.InfoLevel, "restartable job not completed",
		"The verdict is failed, rejected or expired; the field reason gives the cause. Each unsuccessful run has a line of its own with the same job.")
	RunsOrdered = define(1354, zapcore.InfoLevel, "runs ordered",
		"Tasks of a restartable job were placed. Each element of the field placements gives an agent, the number of runs ordered there, the predicted run time of the last of them and the age of the agent state on which the placement is based.")
	AgentEligibilityChanged = define(1355, zapcore.InfoLevel, "agent eligibility changed",
		"The entry has started or stopped sending runs to an agent; the field reason is open if the agent is eligible, and otherwise gives the reason why it is not.")
	EntryReadinessChanged = define(1356, zapcore.InfoLevel, "readiness for restartable jobs changed",
		"The field ready is true if the entry can serve restartable jobs, as it also reports to load balancers at the readiness address of the section [adapter]; otherwise the field reason gives the cause.")
	JobGivenUp = define(1357, zapcore.WarnLevel, "job given up after crashes of workers",
		"Workers have crashed repeatedly while they executed the same task, whose job is therefore reported as failed and not run again for a minute; the field worker_crashes gives their number. Check what the job does.")
	QueueConfined = define(1358, zapcore.WarnLevel, "queue confined after crashes of workers",
		"Workers have crashed, most likely because of tasks of the queue. Its tasks run only on the listed agents, and those of other queues avoid these, so the queue gets fewer workers; jobs that cannot start there are rejected. The field worker_crashes gives the number of crashes on which this rests. Check what the jobs of the queue do.")
	QueueReleased = define(1359, zapcore.InfoLevel, "queue released",
		"No worker has crashed under tasks of the confined queue for some seconds. Its tasks run on all agents again.")
	RunsUnresolved = define(1360, zapcore.InfoLevel, "jobs with runs on unreachable hosts",
		"The field jobs counts the jobs of this entry with a run at an agent that does not respond. Its host may be suspended, so no entry starts these jobs again until the agent is back or is given up; their callers get 504 meanwhile. If the number does not return to zero, find out why the agent is unreachable.")
	JobRefused = define(1361, zapcore.InfoLevel, "restartable job refused",
		"No task of the job has started or will. The field rule names the reason: cannot_meet, its predicted start was too late for its objective; displaces, it would have delayed a job that costs callers at least as much; queue_full; overdue, it did not start in time; no_worker, no worker of its service accepts starts; after_wait, its caller no longer waited. The fields predicted_wait and cost_rate are those on arrival, and cost_rate is set with overload_order = cost only. If many are refused for the first four, capacity is too small.")
	CancellationUnconfirmed = define(1370, zapcore.InfoLevel, "cancellation not confirmed by every entry",
		"A majority of the entries keeps the cancellation, and it was acknowledged, but some entry has not confirmed it within 300 ms or has no session with this one. Agents were told to stop and refuse the runs of the job. If this lasts, find the entry that is stalled or cut off.")
	CancellationRefused = define(1371, zapcore.WarnLevel, "cancellation not acknowledged",
		"The caller got 503 with Retry-After: fewer than a majority of the entries keep the cancellation, or this entry keeps too many. The job may continue or run again. Check that most of the listed entries run and are connected.")
	JobsContinued = define(1372, zapcore.InfoLevel, "jobs continued after a gap",
		"The entry had received nothing from any other process for a second or more, or had no session with a majority of the entries. It has asked the other entries which jobs were cancelled meanwhile, and has continued the rest. The fields jobs and submissions count what was held.")
	JobsNotContinued = define(1373, zapcore.WarnLevel, "jobs not continued after a gap",
		"As event 1372, but a majority of the entries did not answer within a second, or the gap was longer than 25 s, so a cancellation may be unknown. The jobs from before the gap were given up, and their callers got 503 if nothing had run and 504 otherwise. Check the connections between the entries.")
	CancelledJobSubmitted = define(1374, zapcore.InfoLevel, "cancelled job submitted",
		"A job was submitted after its cancellation had been acknowledged, for example again by a caller without a response. It is not run, and the caller gets 410.")
	DelayedJobRefused = define(1380, zapcore.InfoLevel, "submission of a job refused that another entry may have",
		"The request may have been delayed while this entry was stalled or cut off, so the entry has asked the others for the job. One of them has it, or not every entry has answered within 0.5 s. The caller got 504. If this happens often, look for pauses of this entry's VM and check the connections between the entries.")
	DelayedJobGivenUp = define(1381, zapcore.InfoLevel, "job given up for another entry",
		"The job was started although its request may have been delayed. Its caller has submitted it to another entry meanwhile, or the session with another entry has ended or was opened, so that one may not know that the job runs here.")
	RunUnsuccessful = define(1353, zapcore.InfoLevel, "run ended without success",
		"A run of a restartable job failed, was lost, stopped or refused; the task is run again unless its job has a verdict.")
)

// Events of the agent role: 1400 to 1499.
var (
	UpstreamAnnounced = define(1401, zapcore.InfoLevel, "upstream announced",
		"The upstream is new or has changed. Its agent accepts starts for it.")
	UpstreamWithdrawn = define(1402, zapcore.InfoLevel, "upstream withdrawn",
		"The upstream has informed its agent that it is leaving. It gets no new work.")
	UpstreamNotAnnounced = define(1403, zapcore.WarnLevel, "upstream no longer announced",
		"The upstream has withdrawn its announcement, as event 1402 then shows, or the announcement has expired, because the upstream does not refresh it or cannot be connected to. If it has expired, check the upstream.")
	EntryUnreachable = define(1404, zapcore.WarnLevel, "entry unreachable",
		"The agent cannot open a session with an entry that the configuration lists, and keeps trying. It is logged once until a session with the entry opens.")
	AgentDraining = define(1405, zapcore.InfoLevel, "agent draining",
		"The agent refuses new starts and waits for the running calls and for the acknowledgement of their results.")
	AgentDrained = define(1406, zapcore.InfoLevel, "agent drained",
		"All calls have ended and all sessions with entries are closed.")
	ResultsDropped = define(1407, zapcore.WarnLevel, "unacknowledged results dropped",
		"An entry was disconnected for longer than results are kept. Its tasks are reported as may_have_run.")
	TaskThrottled = define(1408, zapcore.WarnLevel, "task throttled",
		"The task uses more than it declared and is limited to its declaration. Correct the processors and memory that its caller declares.")
	WorkerAnnounced = define(1410, zapcore.InfoLevel, "worker announcement changed",
		"The worker of the agent is new, has restarted, or has announced that it is leaving.")
	WorkerLeft = define(1411, zapcore.InfoLevel, "worker left",
		"The worker has announced that it has ended. Nothing runs on it any more.")
	RunCallFailed = define(1412, zapcore.InfoLevel, "call to worker failed",
		"A start was refused or got no response, or a renewal of the worker lease failed; the field result gives the cause. After no_answer the agent sends the start again, up to three times, and asks the worker which runs it has; the run counts as lost if it is not among them in the end. After connection_refused the agent accepts no runs until the worker responds or announces itself.")
	RunStopRequested = define(1413, zapcore.InfoLevel, "run stop requested",
		"The agent has asked the worker to stop a run, because its owner cancelled it or was not heard from, or because no entry ordered it.")
	WorkerCrashSuspected = define(1414, zapcore.WarnLevel, "crash of worker suspected",
		"The worker has stopped accepting connections while it executed runs. The field runs lists those of the entry that may have caused it, because they had started just before; there is one line for each entry with such runs. If runs of one job recur in these lines, cancel the job and report it to its caller; otherwise look into the log of the worker.")
	HostSuspended = define(1415, zapcore.WarnLevel, "host was suspended",
		"The host of the agent and its worker stood still for the field duration, by the difference between the boot-time clock and the steady clock. Entries may have counted the agent as absent; runs continue or are stopped. If it recurs, ask the provider of the VM why it is suspended.")
	WorkerCallsUnanswered = define(1420, zapcore.InfoLevel, "calls to worker unanswered",
		"A call to the worker was not answered in time; each is logged as event 1412. The agent repeats starts and requests reports more often until event 1421. If it recurs for one worker, look into its log and the load of its host; if for many, look at the processor time of the agents.")
	WorkerCallsAnswered = define(1421, zapcore.InfoLevel, "calls to worker answered again",
		"No call to the worker went unanswered for two seconds. The fields starts_unanswered, starts_repeated and renewals_failed count the calls since event 1420.")
	WorkerPlatformFailed = define(1409, zapcore.ErrorLevel, "operation of the worker host failed",
		"The field operation names it. A task whose resources could not be reserved (operation lease) is refused and placed elsewhere.")
)
