#include "net/io_watch.h"

#include <event2/event.h>

#include "net/event_loop.h"

namespace limpetlever {

io_watch::io_watch(event_loop& loop, int fd, handler& target)
    : loop_(loop),
      handler_(target),
      read_(event_new(loop.base(), fd, EV_READ | EV_PERSIST, &io_watch::Dispatch, this)),
      write_(event_new(loop.base(), fd, EV_WRITE | EV_PERSIST, &io_watch::Dispatch, this)) {}

io_watch::~io_watch() {
  event_free(read_);
  event_free(write_);
}

void io_watch::Dispatch(int, short what, void* data) {
  auto* self = static_cast<io_watch*>(data);
  event_loop& loop = self->loop_;
  loop.RunGuarded([self, what, &loop] {
    loop.UpdateNow();
    if ((what & EV_READ) != 0) {
      self->handler_.OnReadable();
    } else if ((what & EV_WRITE) != 0) {
      self->handler_.OnWritable();
    }
  });
}

void io_watch::WantRead(bool is_wanted) {
  if (is_wanted != wants_read_) {
    wants_read_ = is_wanted;
    is_wanted ? event_add(read_, nullptr) : event_del(read_);
  }
}

void io_watch::WantWrite(bool is_wanted) {
  if (is_wanted != wants_write_) {
    wants_write_ = is_wanted;
    is_wanted ? event_add(write_, nullptr) : event_del(write_);
  }
}

}  // namespace limpetlever
