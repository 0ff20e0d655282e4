package rankqueue

// list is a doubly linked list of waiting requests, oldest first.
type list[T any] struct {
	first, last *Item[T]
	count       int
}

func (l *list[T]) push(item *Item[T]) {
	item.list = l
	item.prev = l.last
	if l.last == nil {
		l.first = item
	} else {
		l.last.next = item
	}
	l.last = item
	l.count++
}

func (l *list[T]) remove(item *Item[T]) {
	if item.prev == nil {
		l.first = item.next
	} else {
		item.prev.next = item.next
	}
	if item.next == nil {
		l.last = item.prev
	} else {
		item.next.prev = item.prev
	}
	item.list, item.prev, item.next = nil, nil, nil
	l.count--
}
