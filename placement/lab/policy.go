package lab

import (
	"fmt"
	"math/rand/v2"
)

// policy places flows in a model.
type policy interface {
	begin(m *model)
	// first returns the agent to which balancer b sends an Initial with id, or -1.
	first(m *model, b int, id uint64) int
	// place returns the first agent and the agent that finally gets the flow.
	place(m *model, b int, id uint64) (first, chosen int)
	// wantsReports reports whether the policy uses reports.
	wantsReports() bool
	// report delivers the current occupancy of an agent to balancer b.
	report(m *model, b, agent int)
	// requestDone is called when an agent's backend server has ended a request.
	requestDone(m *model, agent int)
	// membersChanged is called when the member lists have changed.
	membersChanged(m *model)
}

// PolicyError reports an unknown policy.
type PolicyError struct{ Name string }

func (e *PolicyError) Error() string {
	return fmt.Sprintf("unknown policy %q; use one of %v", e.Name, Policies)
}

// Policies are the names of the policies that Run accepts.
var Policies = []string{"random", "rendezvous", "least-lagging", "two-choices", "placement", "ideal"}

func newPolicy(name string, o Options) (policy, error) {
	switch name {
	case "random":
		return &baseline{choose: chooseRandom}, nil
	case "least-lagging":
		return &baseline{choose: chooseLeastLagging}, nil
	case "two-choices":
		return &baseline{choose: chooseTwo}, nil
	case "ideal":
		return &baseline{choose: chooseIdeal}, nil
	case "rendezvous":
		return &placementPolicy{options: o, primaryOnly: true}, nil
	case "placement":
		return &placementPolicy{options: o}, nil
	}
	return nil, &PolicyError{Name: name}
}

// baseline is a policy in which the balancer alone chooses the agent.
type baseline struct {
	choose func(m *model, r *rand.Rand, b int) int
	rng    *rand.Rand
}

func (p *baseline) begin(m *model) { p.rng = rand.New(rand.NewPCG(m.c.Seed, 3)) }

func (p *baseline) first(m *model, b int, _ uint64) int { return p.choose(m, p.rng, b) }

func (p *baseline) place(m *model, b int, id uint64) (first, chosen int) {
	i := p.first(m, b, id)
	return i, i
}

func (p *baseline) wantsReports() bool      { return false }
func (p *baseline) report(*model, int, int) {}
func (p *baseline) requestDone(*model, int) {}
func (p *baseline) membersChanged(*model)   {}

// listed reports whether balancer b's member list contains agent i.
func listed(m *model, b, i int) bool { return m.members[i] && !m.omits(b, i) }

func chooseRandom(m *model, r *rand.Rand, b int) int {
	for {
		if i := r.IntN(len(m.servers)); listed(m, b, i) {
			return i
		}
	}
}

// chooseTwo returns the agent with the lower reported load of two random ones.
func chooseTwo(m *model, r *rand.Rand, b int) int {
	i, j := chooseRandom(m, r, b), chooseRandom(m, r, b)
	if m.reportedLoad(j) < m.reportedLoad(i) {
		return j
	}
	return i
}

func chooseLeastLagging(m *model, r *rand.Rand, b int) int {
	return least(m, r, b, func(i int) int { return m.reportedLoad(i) })
}

func chooseIdeal(m *model, r *rand.Rand, b int) int {
	return least(m, r, b, func(i int) int {
		s := &m.servers[i]
		if !s.alive {
			return 1 << 40
		}
		return s.outstanding()<<16 + s.conns
	})
}

// least returns the agent with the lowest value in balancer b's member list, at
// random among equal ones.
func least(m *model, r *rand.Rand, b int, value func(int) int) int {
	best, bestValue, ties := -1, 0, 0
	for i := range m.servers {
		if !listed(m, b, i) {
			continue
		}
		v := value(i)
		if best >= 0 && v > bestValue {
			continue
		}
		if best < 0 || v < bestValue {
			ties = 0
		}
		ties++
		if r.IntN(ties) == 0 {
			best = i
		}
		bestValue = v
	}
	return best
}
