package discovery

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httputil"
	"strings"
	"time"

	"coralrelay/internal/bufconn"
)

// statusError is the error of a response with a status other than 200.
type statusError struct{ status string }

func (e *statusError) Error() string {
	return fmt.Sprintf("unexpected response status %.60q", e.status)
}

// sendRequest sends the request and reads the response header before the deadline. It returns the
// response body and the Date of the header, which is zero if there is none.
func (c *call) sendRequest(conn *bufconn.Conn, deadline time.Time) (body io.Reader, date time.Time, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return nil, date, err
	}
	err = conn.PrintfLine("GET /v1/endpoints?watch=1&from=%d HTTP/1.1\r\nHost: %s\r\nAccept: application/json\r\n",
		c.fromGeneration, c.addr)
	if err != nil {
		return nil, date, err
	}
	status, err := conn.ReadLine()
	if err != nil {
		return nil, date, err
	}
	version, code, _ := strings.Cut(status, " ")
	if !strings.HasPrefix(version, "HTTP/1.") || !strings.HasPrefix(code, "200") {
		return nil, date, &statusError{status: status}
	}
	header, err := conn.ReadMIMEHeader()
	if err != nil {
		return nil, date, fmt.Errorf("response header: %w", err)
	}
	if parsed, err := http.ParseTime(header.Get("Date")); err == nil {
		date = parsed
	}
	if strings.EqualFold(header.Get("Transfer-Encoding"), "chunked") {
		return httputil.NewChunkedReader(conn.R), date, nil
	}
	return conn.R, date, nil
}
