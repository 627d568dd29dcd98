package admission

// heap is a binary heap that reports the position of each element to setPosition, so that the owner
// can call fix or remove for an element after a change of its key.
type heap[T any] struct {
	elements    []T
	less        func(a, b T) bool
	setPosition func(item T, position int)
}

func (h *heap[T]) push(item T) {
	h.elements = append(h.elements, item)
	h.up(len(h.elements) - 1)
}

func (h *heap[T]) remove(position int) {
	last := len(h.elements) - 1
	h.setPosition(h.elements[position], -1)
	item := h.elements[last]
	var zero T
	h.elements[last] = zero
	h.elements = h.elements[:last]
	if position < last {
		h.elements[position] = item
		h.fix(position)
	}
}

// fix restores the order after the key of the element at position changed.
func (h *heap[T]) fix(position int) {
	if !h.down(position) {
		h.up(position)
	}
}

// rebuild restores the order after any number of keys changed.
func (h *heap[T]) rebuild() {
	for i := len(h.elements)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
	for i, item := range h.elements {
		h.setPosition(item, i)
	}
}

func (h *heap[T]) up(position int) {
	item := h.elements[position]
	for position > 0 {
		parent := (position - 1) / 2
		if !h.less(item, h.elements[parent]) {
			break
		}
		h.elements[position] = h.elements[parent]
		h.setPosition(h.elements[position], position)
		position = parent
	}
	h.elements[position] = item
	h.setPosition(item, position)
}

func (h *heap[T]) down(position int) bool {
	item, start := h.elements[position], position
	for {
		child := 2*position + 1
		if child >= len(h.elements) {
			break
		}
		if child+1 < len(h.elements) && h.less(h.elements[child+1], h.elements[child]) {
			child++
		}
		if !h.less(h.elements[child], item) {
			break
		}
		h.elements[position] = h.elements[child]
		h.setPosition(h.elements[position], position)
		position = child
	}
	h.elements[position] = item
	h.setPosition(item, position)
	return position > start
}
