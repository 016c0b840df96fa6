package wire

var typeNames = [...]string{
	TypeCall: "call", TypeCallResponse: "call-response",
	TypeClaim: "claim", TypeClaimResponse: "claim-answer", TypeSeal: "seal", TypeSealResponse: "seal-answer",
	TypeComplete: "complete", TypeAck: "ack", TypeTransfer: "transfer", TypeTransferPage: "transfer-page",
	TypePing: "ping", TypePingResponse: "ping-answer", TypePingIndirect: "ping-indirect",
	TypeDigest: "digest", TypeDelta: "delta", TypeRumor: "rumor",
	TypeConfigPull: "config-pull", TypeConfigDoc: "config-doc", TypeProbe: "probe", TypeProbeResponse: "probe-answer",
}

// String returns the name used in metrics.
func (t MessageType) String() string {
	if int(t) < len(typeNames) && typeNames[t] != "" {
		return typeNames[t]
	}
	return "invalid"
}
