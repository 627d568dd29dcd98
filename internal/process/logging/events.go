package logging

import "go.uber.org/zap/zapcore"

// Events of the process as a whole: 1000 to 1099.
var (
	ProcessStarted = define(1001, zapcore.InfoLevel, "process started",
		"The daemon has read its settings and listens on its address.")
	ProcessStopping = define(1002, zapcore.InfoLevel, "process stopping",
		"A termination signal arrived. The daemon refuses new work and finishes what is in flight.")
	ProcessStopped = define(1003, zapcore.InfoLevel, "process stopped",
		"All work is finished and all connections are closed.")
	LoopbackOnly = define(1004, zapcore.WarnLevel, "no token file: listening on loopback only",
		"Set token_file in the section [process] to accept callers from other machines.")
)

// Events of the settings file: 1010 to 1019.
var (
	SettingsReloaded = define(1010, zapcore.InfoLevel, "settings read again",
		"The file has changed or SIGHUP arrived. Seeds of the control members take effect at once, everything else at the next start.")
	SettingsRefused = define(1011, zapcore.ErrorLevel, "changed settings refused",
		"The changed file has an error; the process goes on with the settings that it has. Correct the file.")
)

// Events of sessions between processes: 1100 to 1199.
var (
	SessionOpened = define(1101, zapcore.InfoLevel, "session opened",
		"A connection to another process of the installation is established.")
	SessionClosed = define(1102, zapcore.InfoLevel, "session closed",
		"A connection to another process ended; the field error tells why. It is dialed again.")
)

// Events of the control role and of the processes that follow it: 1200 to 1299.
var (
	FeedGroupMismatch = define(1201, zapcore.ErrorLevel, "control member belongs to another group",
		"The control members were set up anew while this process ran, and their revisions do not compare with the ones it knows. Restart this process, or correct control_members.")
	FeedRefused = define(1202, zapcore.ErrorLevel, "configuration from a control member refused",
		"A control member sent a configuration that this process cannot read. Run the same release on all processes.")
	ControlRoleChanged = define(1203, zapcore.InfoLevel, "control member changed its role",
		"The member now has the role in the field role; the field leader names the leader.")
	ControlStorageFailed = define(1204, zapcore.ErrorLevel, "control member cannot write to its data folder",
		"The write is retried. Free space on the disk or repair it; until then the member acknowledges nothing.")
	EntryJoined = define(1205, zapcore.InfoLevel, "entry joins the directory",
		"An entry has a session with this control member and is proposed for the directory.")
	EntryLeft = define(1206, zapcore.InfoLevel, "entry leaves the directory",
		"An entry drains, or has had no session with any control member for entry_timeout.")
	DuplicateEntryID = define(1207, zapcore.ErrorLevel, "two processes use the same entry id",
		"The entry in the directory still has a session, so the second process is not admitted. Give each process its own id.")
	DirectoryChangeFailed = define(1208, zapcore.WarnLevel, "directory change not made",
		"A change that the control role makes by itself was refused or found no majority; it is tried again.")
)

// Events of operators' orders that arrive under another protocol than docs/api.md: 1250 to 1299.
var (
	OperatorRequestAcknowledged = define(1251, zapcore.InfoLevel, "order acknowledged",
		"A change of the configuration is on the disks of a majority and will not be lost, or is not newer than what is in force.")
	OperatorRequestRefused = define(1252, zapcore.InfoLevel, "order not acknowledged",
		"The change is invalid, or could not be confirmed in time and may be sent again; the field error tells which.")
)

// Events of the entry role: 1300 to 1399.
var (
	EntryPeerConnected = define(1301, zapcore.InfoLevel, "entry connected",
		"A session with another entry is open; claims and questions about jobs pass over it.")
	EntryPeerLost = define(1302, zapcore.WarnLevel, "entry lost",
		"The session with another entry ended. If it is not back soon, jobs that it owns are answered as failed.")
	ClaimRefused = define(1303, zapcore.InfoLevel, "claim refused",
		"A submission was refused because its id could not be claimed; the field error tells why.")
	JobOwnerLost = define(1304, zapcore.WarnLevel, "owner of a job is gone",
		"The entry that owned the job has stopped or cannot be reached. The job is answered as failed; its tasks may have run.")
	EntryDraining = define(1305, zapcore.InfoLevel, "entry draining",
		"The entry refuses new submissions and finishes the jobs that it owns.")
	EntryDrained = define(1306, zapcore.InfoLevel, "entry drained",
		"Every job has ended and every caller has its answer.")
)

// Events of restartable jobs at entries: 1350 to 1399.
var (
	JobCompleted = define(1351, zapcore.InfoLevel, "restartable job completed",
		"Every task has ended well. The fields give the time that the job took, its objective and how many runs it needed.")
	JobNotCompleted = define(1352, zapcore.InfoLevel, "restartable job not completed",
		"The verdict is failed, rejected or expired; the field reason tells why. Runs that ended badly have lines of their own with the same job.")
	RunsOrdered = define(1354, zapcore.InfoLevel, "runs ordered",
		"Tasks of a restartable job were placed. For each agent the field placements gives the runs, their predicted time and the age of the state that showed its room.")
	AgentEligibilityChanged = define(1355, zapcore.InfoLevel, "agent begins or ceases to get runs",
		"The entry's view of an agent has changed; the field reason is open if it gets runs from now on, and tells otherwise why it gets none.")
	EntryReadinessChanged = define(1356, zapcore.InfoLevel, "readiness for restartable jobs changed",
		"The field ready tells whether the entry reports itself as ready to those who send it callers; the field reason tells why it does not.")
	RunNotDone = define(1353, zapcore.InfoLevel, "run not done",
		"A run of a restartable job failed, was lost, stopped or refused; the task starts again unless its job has a verdict.")
)

// Events of the agent role: 1400 to 1499.
var (
	UpstreamAnnounced = define(1401, zapcore.InfoLevel, "upstream announced",
		"The upstream is new or has changed. Its agent takes starts for it.")
	UpstreamWithdrawn = define(1402, zapcore.InfoLevel, "upstream withdrawn",
		"The upstream has told its agent that it leaves. It gets no new work.")
	UpstreamLost = define(1403, zapcore.WarnLevel, "no upstream is announced any more",
		"The announcement was withdrawn or has expired: the upstream refreshes it no longer, or refuses connections. Check the upstream.")
	EntryUnreachable = define(1404, zapcore.WarnLevel, "entry not reachable",
		"The agent cannot open a session with an entry of the directory and goes on trying. Logged once for each loss.")
	AgentDraining = define(1405, zapcore.InfoLevel, "agent drains",
		"The agent refuses new starts and waits for the running calls and for the acknowledgement of their results.")
	AgentDrained = define(1406, zapcore.InfoLevel, "agent drained",
		"All calls have ended and all sessions with entries are closed.")
	ResultsDropped = define(1407, zapcore.WarnLevel, "results dropped without an acknowledgement",
		"An entry was away for longer than the evidence is kept. Its tasks count as ones that may have run.")
	TaskThrottled = define(1408, zapcore.WarnLevel, "task throttled",
		"The task uses more than it declared and is limited to its declaration. Correct the declaration of its class of work.")
	WorkerAnnounced = define(1410, zapcore.InfoLevel, "worker announced",
		"The worker beside the agent is new, has restarted, or has said that it leaves.")
	WorkerLeft = define(1411, zapcore.InfoLevel, "worker left",
		"The worker has said that it ends. Nothing runs there any more.")
	RunCallFailed = define(1412, zapcore.InfoLevel, "worker did not do what it was asked",
		"A start was refused or got no answer, or a renewal of the lease failed; the field result tells which. After no_answer the agent looks whether the run is there and stops it if not.")
	RunStopRequested = define(1413, zapcore.InfoLevel, "stop of a run",
		"The agent has asked the worker to stop a run, because its owner cancelled it or was not heard of, or because no entry has ordered it.")
	PlatformFailed = define(1409, zapcore.ErrorLevel, "worker platform failed",
		"An operation of the worker platform failed. Without a lease the task is refused and placed elsewhere.")
)
