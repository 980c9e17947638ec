package lab

import (
	"fmt"
	"math/rand/v2"
)

// policy places flows in a model.
type policy interface {
	begin(m *model)
	// first returns the agent that balancer b sends an Initial with id to.
	first(m *model, b int, id uint64) int
	// place returns that agent and the one that the flow ends up at.
	place(m *model, b int, id uint64) (first, chosen int)
	// wantsReports tells whether report is to be called.
	wantsReports() bool
	// report tells balancer b the occupancy of an agent.
	report(m *model, b, agent int)
	// done tells that an agent's backend server has ended a request.
	done(m *model, agent int)
	// roster is called when the members have changed.
	roster(m *model)
}

// PolicyError reports an unknown policy.
type PolicyError struct{ Name string }

func (e *PolicyError) Error() string {
	return fmt.Sprintf("unknown policy %q; use one of %v", e.Name, Policies)
}

// Policies are the names that Run takes.
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
		return &placed{options: o, primaryOnly: true}, nil
	case "placement":
		return &placed{options: o}, nil
	}
	return nil, &PolicyError{Name: name}
}

// baseline is a policy without an agent's decision.
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
func (p *baseline) done(*model, int)        {}
func (p *baseline) roster(*model)           {}

// known tells whether balancer b's roster names agent i.
func known(m *model, b, i int) bool { return m.members[i] && !m.lacks(b, i) }

func chooseRandom(m *model, r *rand.Rand, b int) int {
	for {
		if i := r.IntN(len(m.servers)); known(m, b, i) {
			return i
		}
	}
}

func chooseTwo(m *model, r *rand.Rand, b int) int {
	i, j := chooseRandom(m, r, b), chooseRandom(m, r, b)
	if m.endpoint(j) < m.endpoint(i) {
		return j
	}
	return i
}

func chooseLeastLagging(m *model, r *rand.Rand, b int) int {
	return least(m, r, b, func(i int) int { return m.endpoint(i) })
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

// least returns the agent of the lowest value, ties at random.
func least(m *model, r *rand.Rand, b int, value func(int) int) int {
	best, bestValue, ties := -1, 0, 0
	for i := range m.servers {
		if !known(m, b, i) {
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
