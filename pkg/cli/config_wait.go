package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"mangostand.example/mangostand/pkg/dynconf"
	"mangostand.example/mangostand/pkg/opsapi"
)

const (
	// pollInterval spaces the questions to a node.
	pollInterval = 100 * time.Millisecond
	// maxConfigStatusSize bounds the answer of a node in bytes.
	maxConfigStatusSize = 1 << 20
)

// waitForNode waits until a node has an accepted document in force. It gives up
// at once when the node cannot take the document.
func (a *application) waitForNode(document *dynconf.Document) int {
	ctx, cancel := context.WithTimeout(context.Background(), a.timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		status, err := readConfigStatus(ctx, a.node)
		done, verdict := inForce(status, document)
		if err == nil && done {
			if verdict != nil {
				return fail(a.stderr, errors.Annotatef(verdict, "version %d was applied", document.Version))
			}
			fmt.Fprintf(a.stdout, "version %d is in force at %s\n", status.Version, a.node)
			return ExitOK
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = errors.Errorf("the node has version %d", status.Version)
			}
			return fail(a.stderr, errors.Annotatef(err, "version %d was applied, but is not in force at %s after %v", document.Version, a.node, a.timeout))
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
	case status.Newest >= document.Version && status.Problem != "":
		return true, errors.Errorf("the node cannot use it: %s", status.Problem)
	}
	return false, nil
}

// readConfigStatus asks a node which configuration it has in force.
func readConfigStatus(ctx context.Context, node string) (opsapi.ConfigStatus, error) {
	var status opsapi.ConfigStatus
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimSuffix(node, "/")+"/v1/config", nil)
	if err != nil {
		return status, errors.Trace(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return status, errors.Trace(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return status, errors.Errorf("node answered %s", resp.Status)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxConfigStatusSize))
	if err != nil {
		return status, errors.Trace(err)
	}
	return status, errors.Annotate(json.Unmarshal(data, &status), "answer of the node")
}
