package discovery

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"slices"
	"time"

	"coralrelay/internal/bufconn"
)

// statusError is the error of a response with a status other than 200.
type statusError struct{ status string }

func (e *statusError) Error() string {
	return fmt.Sprintf("unexpected response status %.60q", e.status)
}

// headError is the error of a response whose head could not be read.
type headError struct{ err error }

func (e *headError) Error() string { return fmt.Sprintf("response header: %.200s", e.err.Error()) }
func (e *headError) Unwrap() error { return e.err }

// sendRequest sends the request and reads the head of the response before the deadline.
func (c *call) sendRequest(conn *bufconn.Conn, deadline time.Time) (*http.Response, error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	err := conn.PrintfLine("GET /v1/endpoints?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n",
		c.fromGeneration, c.addr)
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(conn.R, nil)
	switch {
	case err != nil:
		return nil, &headError{err}
	case response.ProtoMajor != 1 || response.StatusCode != http.StatusOK:
		return nil, &statusError{status: response.Status}
	}
	return response, nil
}

// responseBody returns the body of a response that was read from the connection. It is read byte by byte,
// and the Body of a chunked response would take a lock for each byte.
func responseBody(response *http.Response, conn *bufconn.Conn) io.Reader {
	if slices.Equal(response.TransferEncoding, []string{"chunked"}) {
		return httputil.NewChunkedReader(conn.R)
	}
	return response.Body
}

// responseDate returns the Date of a response, or the zero time if it has none.
func responseDate(response *http.Response) time.Time {
	date, err := http.ParseTime(response.Header.Get("Date"))
	if err != nil {
		return time.Time{}
	}
	return date
}
