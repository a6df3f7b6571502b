#ifndef LIMPETLEVER_NET_IO_WATCH_H_
#define LIMPETLEVER_NET_IO_WATCH_H_

struct event;

namespace limpetlever {

class event_loop;

/** Reports readiness of one socket to a handler, which must outlive the watch. */
class io_watch {
 public:
  class handler {
   public:
    virtual ~handler() = default;
    virtual void OnReadable() = 0;
    virtual void OnWritable() = 0;
  };

  io_watch(event_loop& loop, int fd, handler& target);
  ~io_watch();
  io_watch(const io_watch&) = delete;
  io_watch& operator=(const io_watch&) = delete;

  /** Enables or disables calls of OnReadable. Both kinds of calls are off at first. */
  void WantRead(bool is_wanted);
  /** Enables or disables calls of OnWritable. */
  void WantWrite(bool is_wanted);

 private:
  static void Dispatch(int fd, short what, void* data);

  event_loop& loop_;
  handler& handler_;
  event* read_ = nullptr;
  event* write_ = nullptr;
  bool wants_read_ = false;
  bool wants_write_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_IO_WATCH_H_
