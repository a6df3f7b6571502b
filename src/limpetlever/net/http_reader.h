#ifndef LIMPETLEVER_NET_HTTP_READER_H_
#define LIMPETLEVER_NET_HTTP_READER_H_

#include <http_parser.h>

#include <cstddef>
#include <string_view>

#include "net/http_message.h"

namespace limpetlever {

/** Incremental parser of the messages on one connection, one at a time; uses http-parser. */
class http_reader {
 public:
  enum class side { requests, responses };
  enum class state {
    /** Needs more bytes. */
    reading,
    /** message() is complete; Next() begins the next one. */
    complete,
    /**
     * Not valid HTTP, or ambiguous: two parsers could take it for different messages. Also a
     * response whose status is not from 100 to 599, or is 101.
     */
    malformed,
    header_too_large,
    body_too_large
  };

  http_reader(side message_side, std::size_t max_header_bytes, std::size_t max_body_bytes);
  http_reader(const http_reader&) = delete;
  http_reader& operator=(const http_reader&) = delete;

  /** Parses up to the end of one message; returns how many bytes were consumed. */
  std::size_t Feed(std::string_view bytes);
  /**
   * To be called when the peer closed its sending side in an orderly way. This completes a response
   * without a length; any other unfinished message becomes malformed.
   */
  void FeedEndOfStream();
  /** Discards the message and begins the next one on the same connection. */
  void Next();
  /** Whether the next response carries no body, as a response to HEAD. */
  void ExpectNoBody(bool is_expected) { expects_no_body_ = is_expected; }
  /** The header limit covers names, values and the request target. */
  void SetLimits(std::size_t max_header_bytes, std::size_t max_body_bytes);

  state current() const { return state_; }
  /** Whether any byte of the current message has arrived. */
  bool HasBegun() const { return has_begun_; }
  /** Whether the header of the current message is complete. */
  bool HasHeader() const { return has_header_; }
  http_message& message() { return message_; }
  const http_message& message() const { return message_; }

 private:
  static http_reader& Self(http_parser* parser) { return *static_cast<http_reader*>(parser->data); }
  static const http_parser_settings& Settings();
  static int OnTarget(http_parser* parser, const char* at, std::size_t size);
  static int OnName(http_parser* parser, const char* at, std::size_t size);
  static int OnValue(http_parser* parser, const char* at, std::size_t size);
  static int OnHeadersComplete(http_parser* parser);
  static int OnBody(http_parser* parser, const char* at, std::size_t size);
  static int OnMessageComplete(http_parser* parser);
  /** Feed up to the end of one message, which may be an interim response. */
  std::size_t FeedMessage(std::string_view bytes);
  /**
   * Whether the header has a line feed without a carriage return, a folded line, or more than three
   * digits in its status.
   */
  bool HasAmbiguousLines(std::string_view bytes);
  void BeginMessage();
  int CheckHeaderSize();
  /** Makes room for `size` more bytes of the body, and for no more than the body may have. */
  void ReserveBody(std::size_t size);

  const side side_;
  std::size_t max_header_bytes_;
  std::size_t max_body_bytes_;
  /** The length that the header states, or the limit. */
  std::size_t expected_body_bytes_ = 0;
  http_parser parser_{};
  http_message message_;
  state state_ = state::reading;
  bool has_begun_ = false;
  bool has_header_ = false;
  /** Whether the message is an interim response, which is complete and is to be discarded. */
  bool is_interim_ = false;
  bool expects_no_body_ = false;
  char last_byte_ = 0;
  std::size_t line_bytes_ = 0;
  bool has_start_line_ = false;
  bool is_header_checked_ = false;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_HTTP_READER_H_
