#ifndef LIMPETLEVER_EVENTS_EVENT_FIELD_H_
#define LIMPETLEVER_EVENTS_EVENT_FIELD_H_

#include <string>

namespace limpetlever {

/** A named value of an event; the unit is part of the name, for example "elapsed_us". */
struct event_field {
  std::string name;
  std::string value;

  bool operator==(const event_field&) const = default;
};

}  // namespace limpetlever

#endif  // LIMPETLEVER_EVENTS_EVENT_FIELD_H_
