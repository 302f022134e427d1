package prover

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"testing"
)

// cell is one fault injected at one step, and the test of the guarantee there.
type cell struct {
	// promise is the name of the guarantee in docs/FAULTS.md.
	promise string
	fault   string
	step    string
	size    shape
	test    func(t *testing.T, f *fleet)
}

func (c cell) name() string {
	return fmt.Sprintf("%s/%s@%s", c.promise, c.fault, c.step)
}

// cells is the fault matrix; init functions of the test files add to it.
var cells []cell

func addCell(promise, fault, step string, prove func(t *testing.T, f *fleet)) {
	addCellWithShape(smallShape, promise, fault, step, prove)
}

func addCellWithShape(size shape, promise, fault, step string, prove func(t *testing.T, f *fleet)) {
	cells = append(cells, cell{promise: promise, fault: fault, step: step, size: size, test: prove})
}

// TestMatrix runs every cell and prints a row for each. If MATRIX_ONLY is set,
// it runs only the cells whose names contain that text.
func TestMatrix(t *testing.T) {
	sort.SliceStable(cells, func(i, j int) bool { return cells[i].name() < cells[j].name() })
	verdicts := make([]string, len(cells))
	t.Run("cells", func(t *testing.T) {
		for i, c := range cells {
			verdicts[i] = "not run"
			if !strings.Contains(c.name(), os.Getenv("MATRIX_ONLY")) {
				continue
			}
			t.Run(c.name(), func(t *testing.T) {
				t.Parallel()
				verdicts[i] = "broken"
				runWithFleet(t, c.size, c.test)
				if !t.Failed() {
					verdicts[i] = "held"
				}
			})
		}
	})
	counts := map[string]int{}
	for i, c := range cells {
		counts[verdicts[i]]++
		fmt.Printf("%-16s %-28s %-20s %s\n", c.promise, c.fault, c.step, verdicts[i])
	}
	fmt.Printf("%d held, %d broken, %d not run\n", counts["held"], counts["broken"], counts["not run"])
}
