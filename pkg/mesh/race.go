package mesh

import (
	"context"
	"net/http"

	"mangostand.example/mangostand/pkg/board"
)

// race is a call that was sent to more than one executor. The first good answer
// wins and cancels the others.
type race struct {
	passage *passage
	ctx     context.Context
	out     chan offered
	cancels map[*board.MeshEndpoint]context.CancelFunc
	// pending counts the sends without an outcome.
	pending int
}

// enter sends the call to one more executor.
func (r *race) enter(cell *board.MeshEndpoint) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.cancels[cell] = cancel
	r.pending++
	r.passage.offer(ctx, cell, 0, func() {}, r.out)
}

// run returns the first good answer, or the last one when none is good. A
// failure that a backend server answered last is passed on whole.
func (r *race) run() (*Answer, *board.MeshEndpoint) {
	var last offered
	for r.pending > 0 {
		o := <-r.out
		r.pending--
		if good(o.answer) || (r.pending == 0 && o.answer.Outcome == Answered) {
			r.endOthers(o.cell)
			return withCancel(o, r.cancels[o.cell])
		}
		r.lose(o)
		last = o
	}
	return last.answer, last.cell
}

func good(a *Answer) bool {
	return a.Outcome == Answered && a.Status < http.StatusInternalServerError
}

// lose notes a send without a good answer. One that an executor refused has
// taken no attempt, so that another executor is asked in its place.
func (r *race) lose(o offered) {
	p := r.passage
	r.cancels[o.cell]()
	p.excluded = append(p.excluded, o.cell.Record.Instance)
	if o.answer.Outcome == Unknown {
		p.doubtful = o.answer
	}
	if r.pending > 0 {
		o.answer.close()
	}
	if o.answer.Outcome != NotSent || r.pending == 0 || p.offers >= maxOffers || r.ctx.Err() != nil {
		return
	}
	if cell, _ := p.choose(); cell != nil && r.cancels[cell] == nil {
		r.enter(cell)
	}
}

// endOthers cancels the other sends and closes what they still answer.
func (r *race) endOthers(winner *board.MeshEndpoint) {
	for cell, cancel := range r.cancels {
		if cell != winner {
			cancel()
		}
	}
	pending, out := r.pending, r.out
	go func() {
		for range pending {
			late := <-out
			late.answer.close()
		}
	}()
}
