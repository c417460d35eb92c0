package weights

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/boragelead/boragelead/api/weights"
)

// StatusError reports that the weight store answered with a status other than 200.
type StatusError struct{ Status int }

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("weight store answered with status %d", e.Status)
}

// PartError reports a download that ended before the object was complete.
type PartError struct{ BodyBytes, Want int64 }

// Error implements error.
func (e *PartError) Error() string {
	return fmt.Sprintf("download ended after %d of %d bytes", e.BodyBytes, e.Want)
}

// Client downloads weights for stand-in engines.
type Client struct{ BaseURL string }

// Fetch downloads the weights of a model version, or of an adapter if adapter
// is not empty, and returns their size in bytes.
func (c Client) Fetch(ctx context.Context, model, version, adapter string) (int64, error) {
	url := c.BaseURL + weights.PathObjects + "/" + weights.ObjectName(model, version, adapter)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, &StatusError{Status: resp.StatusCode}
	}
	size, err := strconv.ParseInt(resp.Header.Get(weights.HeaderBytes), 10, 64)
	if err != nil {
		return 0, err
	}
	read, err := io.Copy(io.Discard, resp.Body)
	if err != nil {
		return 0, err
	}
	if want := bodyBytesOf(size); read != want {
		return 0, &PartError{BodyBytes: read, Want: want}
	}
	return size, nil
}
