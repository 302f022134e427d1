package publisher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/foxtailspool/foxtailspool/emulator"
)

// TestEveryNodeLearnsOfLeavingVMs tests that the list of VMs reaches nodes that do
// not watch the store within seconds, also after a watcher dies, and is kept
// during an outage.
func TestEveryNodeLearnsOfLeavingVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 4)
		f.start()
		listedEverywhere := func(name string, leaving bool) func() bool {
			return func() bool {
				for _, node := range f.order {
					found := false
					for _, vm := range node.VMs() {
						found = found || string(vm.Name) == name && vm.Leaving == leaving
					}
					if node.up && !found {
						return false
					}
				}
				return true
			}
		}
		f.platform.Put("vms", "backend", []byte(`{"address":"10.0.0.1:80","data-centre":"dc0"}`))
		f.await("the VM is listed everywhere", 15*time.Second, listedEverywhere("backend", false))
		f.platform.Put("vms", "backend", []byte(`{"address":"10.0.0.1:80","data-centre":"dc0","leaving":true}`))
		f.await("its leaving is known everywhere", 6*time.Second, listedEverywhere("backend", true))
		owner := f.view(f.order[0]).OwnerIn("dc0", "configuration-feed").PeerAddress
		f.nodes[owner].kill()
		f.platform.Put("vms", "other", []byte(`{"address":"10.0.0.2:80","data-centre":"dc0","leaving":true}`))
		f.await("the list is updated after a watcher died", 15*time.Second, listedEverywhere("other", true))
		f.platform.SetFaults(emulator.PlatformFaults{Down: emulator.DownHanging})
		time.Sleep(5 * time.Minute)
		if !listedEverywhere("backend", true)() {
			t.Error("the list was lost in an outage")
		}
	})
}

// TestEditReplacesRefusedEdit tests that an edit based on the accepted table
// replaces a refused one.
func TestEditReplacesRefusedEdit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 2)
		f.start()
		f.wantState(f.order[0].apply(routes("book", "desk"), pools("a")), "accepted")
		tables, err := f.order[0].Tables(f.ctx)
		if err != nil {
			t.Fatal(err)
		}
		f.platform.Put("tables", "routes", []byte(`{"routes":[{"name":"x","pool":"nowhere","rank":"lesser"}]}`))
		f.await("the direct edit is refused", 30*time.Second, func() bool { return f.tableStatus("routes").State == "refused" })
		request := f.request(nil, pools("a", "b"))
		request.SeenRoutes, request.SeenPools = &tables.Routes.Content, &tables.Pools.Content
		f.wantState(f.order[1].Apply(f.ctx, request), "accepted")
	})
}
