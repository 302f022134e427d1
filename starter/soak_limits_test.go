package starter_test

import "github.com/foxtailspool/foxtailspool/emulator"

// soakRoutes is the number of routes by which a large configuration grows.
const soakRoutes = 1400

// startLimit lets a back end name a rate, the configuration grow, or a node or back end end.
func (s *soakRun) startLimit() (end func()) {
	switch s.random.IntN(5) {
	case 0, 1:
		return s.limitBackend()
	case 2:
		s.growConfiguration()
	case 3:
		s.changeBackends()
	default:
		s.kill(s.random.IntN(len(s.processes)))
	}
	return func() {}
}

// limitable are the first back ends of some services and roles, by their order in
// soakRun.backends: a prefill engine, a decode engine and a server of "desk".
var limitable = []int{0, 2, 4}

// limitBackend lets a back end name a rate, once in a seed.
func (s *soakRun) limitBackend() (end func()) {
	for _, at := range s.random.Perm(len(limitable)) {
		backend := s.backends[limitable[at]]
		if s.limits[backend] > 0 {
			continue
		}
		rate := 0.5 + 3*s.random.Float64()
		s.limits[backend] = rate
		s.logFault("%s names a rate of %.2f a second", backend.id, rate)
		backend.instance.SetFaults(emulator.InstanceFaults{Limit: rate})
		return func() {
			s.logFault("%s names no rate", backend.id)
			backend.instance.SetFaults(emulator.InstanceFaults{})
		}
	}
	return func() {}
}

// growConfiguration adds many routes and moves bookings and look-ups.
func (s *soakRun) growConfiguration() {
	s.operator.mutex.Lock()
	s.operator.extraRoutes += soakRoutes
	s.operator.mutex.Unlock()
	s.changeConfiguration()
}

// checkLimits checks that no back end got more requests than the rate that it named allows.
func (s *soakRun) checkLimits() {
	for backend, rate := range s.limits {
		checkLimit(s.t, backend.id, backend.instance, rate)
	}
}
