package admitter

import "container/heap"

// indexed is a binary heap whose values know their place, so that any of them can be moved or removed.
type indexed[T any] struct {
	items []T
	less  func(a, b T) bool
	place func(v T) *int
}

const notInHeap = -1

// Len implements heap.Interface.
func (h *indexed[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexed[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexed[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.place(h.items[i]) = i
	*h.place(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexed[T]) Push(x any) {
	v := x.(T)
	*h.place(v) = len(h.items)
	h.items = append(h.items, v)
}

// Pop implements heap.Interface.
func (h *indexed[T]) Pop() any {
	last := len(h.items) - 1
	v := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.place(v) = notInHeap
	return v
}

func (h *indexed[T]) top() T { return h.items[0] }

func (h *indexed[T]) contains(v T) bool { return *h.place(v) != notInHeap }

func (h *indexed[T]) remove(v T) {
	if h.contains(v) {
		heap.Remove(h, *h.place(v))
	}
}

// set adds v or moves it to its new place.
func (h *indexed[T]) set(v T) {
	if h.contains(v) {
		heap.Fix(h, *h.place(v))
		return
	}
	heap.Push(h, v)
}
