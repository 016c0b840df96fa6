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

// configPollInterval spaces the questions to a node.
const configPollInterval = 100 * time.Millisecond

// waitForNode waits until a node has an accepted document in force. It gives up
// at once when the node cannot take the document.
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

// checkApplied reports whether the wait is over, and the reason when the node will
// not take the document.
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
