package flow

// fifo is a queue that reuses its memory, because every flow adds and removes timeouts.
type fifo[T any] struct {
	items []T
	head  int // index of the oldest item in the queue
}

func (f *fifo[T]) len() int { return len(f.items) - f.head }

// first returns the oldest item; the queue must not be empty.
func (f *fifo[T]) first() *T { return &f.items[f.head] }

func (f *fifo[T]) push(v T) {
	if f.head > 0 && len(f.items) == cap(f.items) {
		f.items = f.items[:copy(f.items, f.items[f.head:])]
		f.head = 0
	}
	f.items = append(f.items, v)
}

// pop removes and returns the oldest item; the queue must not be empty.
func (f *fifo[T]) pop() T {
	v := f.items[f.head]
	var none T
	f.items[f.head] = none
	f.head++
	if f.head == len(f.items) {
		f.items, f.head = f.items[:0], 0
	}
	return v
}

// all calls use for every item, oldest first.
func (f *fifo[T]) all(use func(*T)) {
	for i := f.head; i < len(f.items); i++ {
		use(&f.items[i])
	}
}
