#include <criterion/criterion.h>

#include "base/json_reader.h"

using namespace limpetlever;

// Guards against comments being refused, and against "//" in a string being read as a comment.
Test(json_reader, comments_are_ignored_but_not_inside_strings) {
  const auto root = json_reader::ParseText(
      "{ // line\n \"a\": \"http://x /* no */\", /* block\n */ \"b\": 2 }", "text");
  cr_assert(root);
  json_reader in(*root, "");
  cr_assert(in.String("a") == "http://x /* no */");
  cr_assert(in.Integer("b", 0, 5) == 2);
  cr_assert(!in.Finish());
}

// Guards against a misspelt key being ignored.
Test(json_reader, unknown_keys_are_refused_with_their_path) {
  const auto root = json_reader::ParseText(R"({"hosts":[{"name":"a","wieght":1}]})", "text");
  json_reader in(*root, "");
  for (json_reader& host : in.ObjectsOrEmpty("hosts")) {
    host.String("name");
    in.TakeErrorFrom(host);
  }
  const auto error = in.Finish();
  cr_assert(error);
  cr_assert(error->message == "hosts[0].wieght is not a known key", "%s", error->message.c_str());
}
