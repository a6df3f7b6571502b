#ifndef LIMPETLEVER_NET_HTTP_MESSAGE_H_
#define LIMPETLEVER_NET_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace limpetlever {

/**
 * One HTTP/1.1 request or response. Header fields are kept in one buffer that the next message
 * reuses, so that reading a message allocates only while buffers grow.
 */
class http_message {
 public:
  struct field {
    std::string_view name;
    std::string_view value;
  };

  void Clear();
  /** Appends to a field's name; the first call after AppendValue begins a new field. */
  void AppendName(std::string_view text);
  /** Appends to the value of the current field. */
  void AppendValue(std::string_view text);

  std::size_t field_count() const { return fields_.size(); }
  field FieldAt(std::size_t index) const;
  /** The value of the first field of that name, compared without case; empty if there is none. */
  std::string_view Find(std::string_view name) const;
  bool Has(std::string_view name) const { return Count(name) > 0; }
  std::size_t Count(std::string_view name) const;
  /** Total size of all names and values. */
  std::size_t header_bytes() const { return text_.size(); }

  /** The memory that the message takes. */
  std::size_t memory_bytes() const;

  /** Requests only. */
  std::string method;
  std::string target;
  /** Responses only. */
  int status = 0;
  std::string body;
  bool keeps_alive = true;

 private:
  struct field_position {
    std::uint32_t name_at = 0;
    std::uint32_t name_size = 0;
    std::uint32_t value_at = 0;
    std::uint32_t value_size = 0;
  };
  std::string text_;
  std::vector<field_position> fields_;
  bool is_in_value_ = true;
};

/** Whether two header field names are the same, compared without case. */
bool IsSameFieldName(std::string_view a, std::string_view b);

}  // namespace limpetlever

#endif  // LIMPETLEVER_NET_HTTP_MESSAGE_H_
