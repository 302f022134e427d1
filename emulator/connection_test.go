package emulator

import (
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"
)

// TestDeadlineEndsRead guards against a Read that waits for ever because its deadline was set
// just before it began to wait: net/http sets one in the past to end a read, and a hijacked
// connection hung in one of some thousand requests.
func TestDeadlineEndsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for range 200_000 {
			connection := &memoryConn{in: newPipe(), out: newPipe()}
			result, reads := make(chan error, 1), make(chan struct{})
			go func() {
				buffer := make([]byte, 1)
				close(reads)
				_, err := connection.Read(buffer)
				result <- err
			}()
			<-reads
			if err := connection.SetReadDeadline(time.Unix(1, 0)); err != nil {
				t.Fatal(err)
			}
			if err := <-result; !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatal(err)
			}
		}
	})
}
