package board

// Reason says why a call was not run or why its outcome is unknown. It is
// told to the caller and logged.
type Reason string

// Reasons of calls that were not run.
const (
	ReasonMalformedRequest    Reason = "malformed-request"
	ReasonNoRoute             Reason = "no-route"
	ReasonRetired             Reason = "retired"
	ReasonQuarantined         Reason = "quarantined"
	ReasonNoServer            Reason = "no-server"
	ReasonDraining            Reason = "draining"
	ReasonBackendDown         Reason = "backend-server-down"
	ReasonOverloaded          Reason = "overloaded"
	ReasonShedByPriority      Reason = "shed-by-priority"
	ReasonExecutorUnreachable Reason = "executor-unreachable"
	ReasonAttemptBudgetSpent  Reason = "attempt-budget-spent"
	ReasonDeadlineBeforeStart Reason = "deadline-before-start"
	ReasonKeyInProgress       Reason = "key-in-progress"
	ReasonKeyConflict         Reason = "key-used-for-another-request"
	ReasonKeyTimeInFuture     Reason = "key-time-in-future"
	ReasonKeyMemoryFull       Reason = "key-memory-full"
	ReasonKeyHomeUnavailable  Reason = "key-home-unavailable"
	ReasonStaleEpoch          Reason = "stale-epoch"
	ReasonWrongIncarnation    Reason = "wrong-incarnation"
	ReasonGrantSealed         Reason = "grant-sealed"
	ReasonNodeStopping        Reason = "node-stopping"
)

// ReasonResponseNotKept: the call has run and its outcome is recorded, but the
// response was too large to be kept.
const ReasonResponseNotKept Reason = "response-not-kept"

// Reasons of calls whose outcome is unknown.
const (
	// ReasonKeyRecordLost: the key is older than the loss of its records.
	ReasonKeyRecordLost      Reason = "key-record-lost"
	ReasonKeyExpired         Reason = "key-expired"
	ReasonDeadlineExceeded   Reason = "deadline-exceeded"
	ReasonConnectionLost     Reason = "connection-lost"
	ReasonExecutorLost       Reason = "executor-lost"
	ReasonResponseIncomplete Reason = "response-incomplete"
	ReasonCanceledByCaller   Reason = "canceled-by-caller"
)

// Reasons of calls on the platform's path.
const (
	// ReasonNoConfiguration: the node knows no configuration yet.
	ReasonNoConfiguration Reason = "no-configuration"
	// ReasonSlowerThanAlternative: another backend server is expected to answer sooner.
	ReasonSlowerThanAlternative Reason = "slower-than-alternative"
	// ReasonRejectedByServer: the backend server says that it did not run the call.
	ReasonRejectedByServer Reason = "rejected-by-server"
	// ReasonAddressOfOtherServer: another backend server has the address.
	ReasonAddressOfOtherServer Reason = "address-of-other-server"
	// ReasonExecutorSilent: the executor did not take the call in time.
	ReasonExecutorSilent Reason = "executor-silent"
	// ReasonServerError: the backend server answered with a failure of its own.
	ReasonServerError Reason = "server-error"
	// ReasonMalformedAnswer: what the backend server sent is no whole answer.
	ReasonMalformedAnswer Reason = "malformed-answer"
	// ReasonBodyMissing: the entry did not follow with the body.
	ReasonBodyMissing Reason = "body-missing"
)
