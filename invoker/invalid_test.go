package invoker

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"

	"github.com/foxtailspool/foxtailspool/connector"
	"github.com/foxtailspool/foxtailspool/emulator"
	"github.com/foxtailspool/foxtailspool/identifier"
	"github.com/foxtailspool/foxtailspool/tabulator"
)

// TestInvalidHeadOfCall guards against an answer that is not HTTP and that counts as the answer of
// a service, as the confirmation of an order or as a prefilled prompt.
func TestInvalidHeadOfCall(t *testing.T) {
	const body = `{"kv_transfer_params":{}}`
	for _, form := range emulator.InvalidForms() {
		t.Run(form, func(t *testing.T) {
			answer := emulator.InvalidHeads("HTTP/1.1 200 OK\r\n", body)[form] + "\r\n" + body
			address, stop, err := emulator.ServeConnections(t.Context(), func(connection *net.TCPConn) {
				defer func() { _ = connection.Close() }()
				if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					_, _ = io.Copy(io.Discard, request.Body)
					_, _ = io.WriteString(connection, answer)
				}
			})
			if err != nil {
				t.Fatal(err)
			}
			defer stop()
			i := newLoopbackInvoker(connector.NewNetwork())
			member := tabulator.Member{Name: "m", Address: identifier.Address(address)}
			_, callError := i.Call(t.Context(), member, Call{Method: http.MethodPost, Target: "/", Body: []byte("x"), Key: "k"})
			_, repeatableError := i.Call(t.Context(), member, Call{Method: http.MethodGet, Target: "/"})
			_, prefillError := i.Prefill(t.Context(), member, Work{Attempt: "a", Path: "/v1/completions"})
			for name, err := range map[string]error{
				"call": callError, "repeatable call": repeatableError, "prefill": prefillError,
				"order": i.Order(t.Context(), member, Order{}), "cancel": i.Cancel(t.Context(), member, "a", 1),
			} {
				if !errorx.IsOfType(err, AnswerLost) {
					t.Errorf("%s: %v", name, err)
				}
			}
		})
	}
}
