package meshnode

import (
	"context"
	"net/http"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/control/quota"
	decide "mangostand.example/mangostand/pkg/decide/quota"
	"mangostand.example/mangostand/pkg/h1"
)

// quotaLimits returns how exact the quotas of customers are.
func (n *Node) quotaLimits() decide.Limits {
	l := n.settings.PlatformLimits
	return decide.Limits{Window: l.QuotaWindow, Overshoot: l.QuotaOvershoot, Slack: l.QuotaSlack, RevocationTime: n.strictRevocationTime()}
}

// handleQuotaReport responds to a report of requests by customer.
func (n *Node) handleQuotaReport(r *h1.Request) *h1.Response {
	var m quota.Message
	if err := cbor.Unmarshal(r.Body, &m); err != nil {
		n.log.Warn().Err(err).Str("event", "quota_report_refused").Msg("malformed quota report")
		return &h1.Response{Status: http.StatusBadRequest}
	}
	response, err := n.quotas.Respond(&m)
	if err != nil {
		n.log.Warn().Err(err).Str("event", "quota_report_refused").Send()
		return &h1.Response{Status: http.StatusBadRequest}
	}
	data, err := cbor.Marshal(response)
	if err != nil {
		n.log.Error().Err(err).Str("event", "quota_reply_not_encoded").Send()
		return &h1.Response{Status: http.StatusInternalServerError}
	}
	return &h1.Response{Status: http.StatusOK, BufferedBody: data}
}

// reportQuota sends a report of requests by customer to another node.
func (n *Node) reportQuota(ctx context.Context, addr string, m *quota.Message) (*quota.Response, error) {
	data, err := cbor.Marshal(m)
	if err != nil {
		return nil, errors.Trace(err)
	}
	body, err := n.requestPeer(ctx, addr, targetQuota, data, peerObserver{})
	if err != nil {
		var requestErr *h1.Error
		switch {
		case !errors.As(err, &requestErr) && ctx.Err() == nil:
			return nil, errors.Annotate(quota.ErrInvalidResponse, err.Error())
		case requestErr != nil && requestErr.ConnRefused:
			return nil, errors.Trace(quota.ErrEnded)
		}
		return nil, errors.Trace(err)
	}
	var response quota.Response
	if err := cbor.Unmarshal(body, &response); err != nil {
		return nil, errors.Annotate(quota.ErrInvalidResponse, err.Error())
	}
	return &response, nil
}
