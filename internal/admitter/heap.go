package admitter

import "container/heap"

// indexedHeap is a binary heap whose values store their index, so that any of them can be moved or removed.
type indexedHeap[T any] struct {
	items []T
	less  func(a, b T) bool
	index func(v T) *int
}

const notInHeap = -1

// Len implements heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.items) }

// Less implements heap.Interface.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

// Swap implements heap.Interface.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.index(h.items[i]) = i
	*h.index(h.items[j]) = j
}

// Push implements heap.Interface.
func (h *indexedHeap[T]) Push(x any) {
	v := x.(T)
	*h.index(v) = len(h.items)
	h.items = append(h.items, v)
}

// Pop implements heap.Interface.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.items) - 1
	v := h.items[last]
	var zero T
	h.items[last] = zero
	h.items = h.items[:last]
	*h.index(v) = notInHeap
	return v
}

func (h *indexedHeap[T]) top() T { return h.items[0] }

func (h *indexedHeap[T]) contains(v T) bool { return *h.index(v) != notInHeap }

func (h *indexedHeap[T]) remove(v T) {
	if h.contains(v) {
		heap.Remove(h, *h.index(v))
	}
}

// pushOrFix adds v or moves it to its new index.
func (h *indexedHeap[T]) pushOrFix(v T) {
	if h.contains(v) {
		heap.Fix(h, *h.index(v))
		return
	}
	heap.Push(h, v)
}
