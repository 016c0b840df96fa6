package wire

var typeNames = [...]string{
	TypeCall: "call", TypeCallResponse: "call-response",
	TypeClaim: "claim", TypeClaimAnswer: "claim-answer", TypeSeal: "seal", TypeSealAnswer: "seal-answer",
	TypeComplete: "complete", TypeAck: "ack", TypeTransfer: "transfer", TypeTransferPage: "transfer-page",
	TypePing: "ping", TypePingAnswer: "ping-answer", TypePingIndirect: "ping-indirect",
	TypeDigest: "digest", TypeDelta: "delta", TypeRumor: "rumor",
	TypeConfigPull: "config-pull", TypeConfigDoc: "config-doc", TypeProbe: "probe", TypeProbeAnswer: "probe-answer",
}

// String returns the name used in metrics.
func (t Type) String() string {
	if int(t) < len(typeNames) && typeNames[t] != "" {
		return typeNames[t]
	}
	return "invalid"
}
