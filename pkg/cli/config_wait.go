package cli

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/opsapi"
)

// configPollInterval is the time between two requests for the configuration status
// of a node.
const configPollInterval = 100 * time.Millisecond

// waitForNode waits until the node has the document in force. It fails at once when
// the node cannot use the document.
func (a *applyOperation) waitForNode(document *dynconf.Document) int {
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	ticker := time.NewTicker(configPollInterval)
	defer ticker.Stop()
	for {
		var status opsapi.ConfigStatus
		err := a.node.sendJSON(ctx, http.MethodGet, "/v1/config", &status)
		done, applyErr := checkApplied(status, document)
		if err == nil && done {
			if applyErr != nil {
				return reportError(a.stderr, errors.Annotatef(applyErr, "version %d was applied", document.Version))
			}
			fmt.Fprintf(a.stdout, "version %d is in force at %s\n", status.Version, a.node.baseURL)
			return ExitOK
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = errors.Errorf("the node has version %d", status.Version)
			}
			return reportError(a.stderr, errors.Annotatef(err, "version %d was applied, but is not in force at %s after %v", document.Version, a.node.baseURL, a.timeout))
		case <-ticker.C:
		}
	}
}

// checkApplied reports whether the wait for the document is over. It returns an error
// when the wait is over because the node cannot use the document.
func checkApplied(status opsapi.ConfigStatus, document *dynconf.Document) (bool, error) {
	switch {
	case status.Version > document.Version:
		return true, nil
	case status.Version == document.Version && status.ChangeID == document.ChangeID:
		return true, nil
	case status.Version == document.Version:
		return true, errors.Errorf("the node has change %s under the same version, since the store lost a version; apply again", status.ChangeID)
	case status.NewestSeen >= document.Version && status.NotAppliedReason != "":
		return true, errors.Errorf("the node cannot use it: %s", status.NotAppliedReason)
	}
	return false, nil
}
