package board

// Reason says why a call was not run or why its outcome is unknown. It is
// told to the caller and logged.
type Reason string

// Reasons of calls that were not run.
const (
	ReasonMalformed        Reason = "malformed-request"
	ReasonNoRoute          Reason = "no-route"
	ReasonRetired          Reason = "retired"
	ReasonQuarantined      Reason = "quarantined"
	ReasonNoServer         Reason = "no-server"
	ReasonDraining         Reason = "draining"
	ReasonNoBackend        Reason = "backend-server-down"
	ReasonOverloaded       Reason = "overloaded"
	ReasonShed             Reason = "shed-by-priority"
	ReasonUnreachable      Reason = "executor-unreachable"
	ReasonBudget           Reason = "attempt-budget-spent"
	ReasonDeadlineNotRun   Reason = "deadline-before-start"
	ReasonKeyInProgress    Reason = "key-in-progress"
	ReasonKeyConflict      Reason = "key-used-for-another-request"
	ReasonKeyInFuture      Reason = "key-time-in-future"
	ReasonKeyMemory        Reason = "key-memory-full"
	ReasonHomeUnavailable  Reason = "key-home-unavailable"
	ReasonStaleEpoch       Reason = "stale-epoch"
	ReasonWrongIncarnation Reason = "wrong-incarnation"
	ReasonSealed           Reason = "grant-sealed"
	ReasonStopping         Reason = "node-stopping"
)

// ReasonResponseNotKept: the call has run and its outcome is recorded, but the
// response was too large to be kept.
const ReasonResponseNotKept Reason = "response-not-kept"

// Reasons of calls whose outcome is unknown.
const (
	// ReasonKeyRecordLost: the key is older than the loss of its records.
	ReasonKeyRecordLost    Reason = "key-record-lost"
	ReasonKeyExpired       Reason = "key-expired"
	ReasonDeadlineExceeded Reason = "deadline-exceeded"
	ReasonConnectionLost   Reason = "connection-lost"
	ReasonExecutorLost     Reason = "executor-lost"
	ReasonResponseCut      Reason = "response-incomplete"
	ReasonCanceled         Reason = "canceled-by-caller"
)

// Reasons of calls on the platform's path.
const (
	// ReasonNoConfig: the node knows no configuration yet.
	ReasonNoConfig Reason = "no-configuration"
	// ReasonSlower: another backend server is expected to answer sooner.
	ReasonSlower Reason = "slower-than-alternative"
	// ReasonRejected: the backend server says that it did not run the call.
	ReasonRejected Reason = "rejected-by-server"
	// ReasonOtherServer: another backend server has the address.
	ReasonOtherServer Reason = "address-of-other-server"
	// ReasonSilent: the executor did not take the call in time.
	ReasonSilent Reason = "executor-silent"
	// ReasonServerError: the backend server answered with a failure of its own.
	ReasonServerError Reason = "server-error"
	// ReasonMalformedAnswer: what the backend server sent is no whole answer.
	ReasonMalformedAnswer Reason = "malformed-answer"
	// ReasonBodyMissing: the entry did not follow with the body.
	ReasonBodyMissing Reason = "body-missing"
)
