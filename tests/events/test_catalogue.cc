#include <criterion/criterion.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include "events/event_number.h"

using namespace limpetlever;

namespace {

using fields_by_event = std::map<std::string, std::set<std::string>>;

/** Names of the fields of each event in the catalogue, without the remarks in parentheses. */
fields_by_event CataloguedFields() {
  std::ifstream in(SOURCE_DIR "/docs/events.md");
  const std::regex row(R"(^\| \d+ \| (\w+) \| [^|]+ \| ([^|]+) \| [^|]+ \|$)");
  fields_by_event found;
  for (std::string line; std::getline(in, line);) {
    std::smatch parts;
    if (std::regex_match(line, parts, row)) {
      std::set<std::string>& fields = found[parts[1]];
      std::istringstream list(std::regex_replace(parts[2].str(), std::regex(R"( \([^)]*\))"), ""));
      for (std::string name; list >> name;) {
        fields.insert(name.substr(0, name.find(',')));
      }
      fields.erase("none");
    }
  }
  return found;
}

/** Names of the fields of each event in the statements that record events. */
fields_by_event RecordedFields() {
  fields_by_event found;
  const std::regex statement(R"(\bRecord\([^;]*;)");
  const std::regex number(R"(event_number::(\w+))");
  const std::regex field(R"re(\{"(\w+)",)re");
  for (const auto& item : std::filesystem::recursive_directory_iterator(SOURCE_DIR "/src")) {
    if (item.path().extension() != ".cc") {
      continue;
    }
    std::ostringstream text;
    text << std::ifstream(item.path()).rdbuf();
    const std::string source = text.str();
    const auto end = std::sregex_iterator();
    for (auto match = std::sregex_iterator(source.begin(), source.end(), statement); match != end;
         ++match) {
      const std::string code = match->str();
      std::set<std::string> names;
      for (std::sregex_iterator name(code.begin(), code.end(), number); name != end; ++name) {
        names.insert((*name)[1]);
      }
      // The coordinator records one of these, chosen by SentEvent.
      if (code.find("SentEvent(") != std::string::npos) {
        names = {"attempt_sent", "hedge_sent", "retry_sent"};
      }
      for (const std::string& name : names) {
        std::set<std::string>& fields = found[name];
        for (std::sregex_iterator one(code.begin(), code.end(), field); one != end; ++one) {
          fields.insert((*one)[1]);
        }
      }
    }
  }
  return found;
}

std::string Join(const std::set<std::string>& names) {
  std::string text;
  for (const std::string& name : names) {
    text += name + " ";
  }
  return text;
}

}  // namespace

// Guards against an event that the catalogue lacks, and a row of the catalogue without an event.
Test(catalogue, code_and_catalogue_have_the_same_events) {
  std::ifstream in(SOURCE_DIR "/docs/events.md");
  cr_assert(in);
  std::map<int, std::string> rows;
  const std::regex row(R"(^\| (\d+) \| (\w+) \| [^|]+ \| [^|]+ \| [^|]+ \|$)");
  for (std::string line; std::getline(in, line);) {
    std::smatch parts;
    if (std::regex_match(line, parts, row)) {
      cr_assert(rows.emplace(std::stoi(parts[1]), parts[2]).second, "%s", line.c_str());
    } else {
      cr_assert(line.empty() || !line.starts_with("| ") || line.starts_with("| number"), "%s",
                line.c_str());
    }
  }
  std::map<int, std::string> events;
  for (const event_number number : AllEventNumbers()) {
    events.emplace(static_cast<int>(number), ToString(number));
  }
  cr_assert(rows == events);
}

// Guards against a number in the enumeration that AllEventNumbers leaves out.
Test(catalogue, every_named_number_is_listed) {
  std::size_t named = 0;
  for (int number = 0; number < 1000; ++number) {
    named += ToString(static_cast<event_number>(number)) != "unknown" ? 1 : 0;
  }
  cr_assert(named == AllEventNumbers().size());
}

// Guards against a catalogue that names fields which the events lack, or omits fields they have.
Test(catalogue, code_and_catalogue_have_the_same_fields) {
  const fields_by_event catalogue = CataloguedFields();
  const fields_by_event code = RecordedFields();
  cr_assert(!code.empty());
  for (const auto& [name, fields] : code) {
    cr_assert(catalogue.contains(name), "%s", name.c_str());
    cr_expect(catalogue.at(name) == fields, "%s: catalogue: %s; code: %s", name.c_str(),
              Join(catalogue.at(name)).c_str(), Join(fields).c_str());
  }
}

// Guards against an event that is in the catalogue but never recorded.
Test(catalogue, every_event_is_recorded_somewhere) {
  const fields_by_event code = RecordedFields();
  for (const event_number number : AllEventNumbers()) {
    // A host that refuses its settings does not start, so it writes this event to its output only.
    if (number != event_number::settings_refused) {
      cr_expect(code.contains(ToString(number)), "%s", ToString(number).c_str());
    }
  }
}
