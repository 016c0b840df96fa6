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

// pollInterval spaces the questions to a node.
const pollInterval = 100 * time.Millisecond

// waitForNode waits until a node has an accepted document in force. It gives up
// at once when the node cannot take the document.
func (a *application) waitForNode(document *dynconf.Document) int {
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		var status opsapi.ConfigStatus
		err := a.node.call(ctx, http.MethodGet, "/v1/config", &status)
		done, verdict := inForce(status, document)
		if err == nil && done {
			if verdict != nil {
				return fail(a.stderr, errors.Annotatef(verdict, "version %d was applied", document.Version))
			}
			fmt.Fprintf(a.stdout, "version %d is in force at %s\n", status.Version, a.node.url)
			return ExitOK
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = errors.Errorf("the node has version %d", status.Version)
			}
			return fail(a.stderr, errors.Annotatef(err, "version %d was applied, but is not in force at %s after %v", document.Version, a.node.url, a.timeout))
		case <-ticker.C:
		}
	}
}

// inForce reports whether the wait is over, and the reason when the node will
// not take the document.
func inForce(status opsapi.ConfigStatus, document *dynconf.Document) (bool, error) {
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
