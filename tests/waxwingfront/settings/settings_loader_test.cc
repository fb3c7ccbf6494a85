#include "waxwingfront/settings/settings_loader.h"

#include <google/protobuf/util/message_differencer.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <charconv>
#include <set>
#include <sstream>
#include <string>

#include "waxwingfront/settings/address.h"

namespace waxwingfront::settings {
namespace {

using google::protobuf::FieldDescriptor;

constexpr std::string_view kEntrySection =
    "[entry]\nid = entry-1\nfailure_domain = trebic\n"
    "caller_address = 127.0.0.1:8080\npeer_address = 127.0.0.1:8180\n";
constexpr std::string_view kPlatformSection =
    "[platform]\nstore_address = 127.0.0.1:2379\n"
    "host_list_address = 127.0.0.1:2380\n";

loaded_settings Parse(const std::string& text) {
  std::istringstream stream(text);
  return ParseSettings("entry.ini", stream);
}

// Parses the required keys followed by `more`.
loaded_settings ParseWithRequiredKeys(const std::string& more) {
  return Parse(std::string(kEntrySection) + std::string(kPlatformSection) +
               more);
}

// Returns the description of the only problem; fails if there is not exactly
// one.
std::string OnlyProblem(const loaded_settings& loaded) {
  REQUIRE(loaded.problems.size() == 1);
  return Describe(loaded.problems.front());
}

// Guards against error messages that do not tell an operator what to change.
TEST_CASE("a settings error names file, section, key and allowed values",
          "[settings]") {
  SECTION("a number outside its range, with the unit") {
    CHECK(OnlyProblem(ParseWithRequiredKeys("[front]\nthreads = 5000\n")) ==
          "entry.ini: [front] threads: '5000' is not valid; allowed is a whole "
          "number from 1 to 4096, in threads");
  }
  SECTION("a number with a unit, a separator, a sign or an exponent") {
    for (const std::string text : {"10ms", "1,0", "+10", "0x10", "1e3", ""}) {
      CAPTURE(text);
      const std::string problem = OnlyProblem(
          ParseWithRequiredKeys("[front]\nconnect_timeout_ms = " + text));
      CHECK(problem.find("[front] connect_timeout_ms: '" + text + "'") !=
            std::string::npos);
      CHECK(problem.find("from 1 to 60000, in ms") != std::string::npos);
    }
  }
  SECTION("a missing key") {
    CHECK(OnlyProblem(Parse(std::string(kEntrySection) +
                            "[platform]\nstore_address = 127.0.0.1:2379\n")) ==
          "entry.ini: [platform] host_list_address: missing; allowed is an IP "
          "address with a port from 1 to 65535, such as 127.0.0.1:8080 or "
          "[::1]:8080");
  }
  SECTION("an unknown key") {
    const std::string problem =
        OnlyProblem(ParseWithRequiredKeys("[log]\nlevle = info\n"));
    CHECK(problem ==
          "entry.ini: [log] levle: unknown key; allowed are the keys level");
  }
  SECTION("a key in a different case") {
    const std::string problem =
        OnlyProblem(ParseWithRequiredKeys("[log]\nLevel = info\n"));
    CHECK(problem.find("[log] Level: unknown key") != std::string::npos);
  }
  SECTION("an unknown section without a key") {
    const std::string problem = OnlyProblem(ParseWithRequiredKeys("[fornt]\n"));
    CHECK(problem ==
          "entry.ini: [fornt]: unknown section; allowed are the sections "
          "entry, platform, front, batch, log");
  }
  SECTION("a key outside any section") {
    const std::string problem =
        OnlyProblem(Parse("threads = 5\n" + std::string(kEntrySection) +
                          std::string(kPlatformSection)));
    CHECK(problem.find("[] threads: the key is outside any section") !=
          std::string::npos);
  }
  SECTION("lines that are neither a section nor a key") {
    CHECK(OnlyProblem(ParseWithRequiredKeys("[front]\nthreads\n")) ==
          "entry.ini: [front] threads: malformed line; allowed are [section] "
          "and key = value");
    CHECK(OnlyProblem(ParseWithRequiredKeys("[front\n"))
              .find("[] [front: malformed") != std::string::npos);
  }
  SECTION("a name, an address and a level of the wrong shape") {
    CHECK(OnlyProblem(ParseWithRequiredKeys("[log]\nlevel = debug\n"))
              .find("allowed is info, warning or error") != std::string::npos);
    const loaded_settings loaded = Parse(
        "[entry]\nid = Entry 1\nfailure_domain = trebic\n"
        "caller_address = localhost:8080\npeer_address = 127.0.0.1:0\n" +
        std::string(kPlatformSection));
    REQUIRE(loaded.problems.size() == 3);
    CHECK(loaded.problems[0].key == "id");
    CHECK(loaded.problems[1].key == "caller_address");
    CHECK(loaded.problems[2].key == "peer_address");
  }
  SECTION("a file that does not exist") {
    const loaded_settings loaded = LoadSettings("/nowhere/entry.ini");
    CHECK(OnlyProblem(loaded).find("/nowhere/entry.ini: ") == 0);
  }
}

// Guards against Poco's behaviour that the last of equal keys silently wins.
TEST_CASE("a repeated key is an error", "[settings]") {
  SECTION("in one section") {
    CHECK(OnlyProblem(
              ParseWithRequiredKeys("[front]\nthreads = 5\nthreads = 6\n")) ==
          "entry.ini: [front] threads: repeated; allowed is each key once in a "
          "file");
  }
  SECTION("in a section that is reopened") {
    CHECK(OnlyProblem(ParseWithRequiredKeys(
                          "[front]\nthreads = 5\n[log]\nlevel = info\n"
                          "[front]\nthreads = 5\n"))
              .find("[front] threads: repeated") != std::string::npos);
  }
}

// Guards against settings that are valid on their own but break the system in
// combination.
TEST_CASE("settings that contradict each other are errors", "[settings]") {
  SECTION("a ticket that does not outlast two exchanges") {
    CHECK(OnlyProblem(ParseWithRequiredKeys("[batch]\nticket_ms = 4000\n")) ==
          "entry.ini: [batch] ticket_ms: 4000 ms contradicts [batch] sync_ms; "
          "allowed is more than twice sync_ms, that is above 4000 ms");
    CHECK(
        ParseWithRequiredKeys("[batch]\nticket_ms = 4001\n").problems.empty());
  }
  SECTION("a task lease that does not outlast a ticket") {
    CHECK(OnlyProblem(ParseWithRequiredKeys("[batch]\ntask_lease_ms = 6000\n"))
              .find("[batch] task_lease_ms: 6000 ms contradicts [batch] "
                    "ticket_ms") != std::string::npos);
    CHECK(ParseWithRequiredKeys("[batch]\ntask_lease_ms = 6001\n")
              .problems.empty());
  }
  SECTION("an entry lease too short for three renewals") {
    CHECK(OnlyProblem(ParseWithRequiredKeys("[batch]\nentry_lease_s = 2\n"))
              .find("[batch] entry_lease_s: 2 s contradicts [platform] "
                    "store_timeout_ms; allowed is time for three renewals, "
                    "that is at least 3000 ms") != std::string::npos);
    CHECK(
        ParseWithRequiredKeys("[batch]\nentry_lease_s = 3\n").problems.empty());
  }
  SECTION("a connect timeout above the default deadline") {
    CHECK(OnlyProblem(
              ParseWithRequiredKeys("[front]\nconnect_timeout_ms = 20000\n"))
              .find("[front] connect_timeout_ms") != std::string::npos);
  }
  SECTION("one address used for two purposes") {
    const loaded_settings loaded = Parse(
        "[entry]\nid = entry-1\nfailure_domain = trebic\n"
        "caller_address = 127.0.0.1:8080\npeer_address = 127.0.0.1:8080\n" +
        std::string(kPlatformSection));
    CHECK(OnlyProblem(loaded).find("[entry] peer_address: 127.0.0.1:8080 "
                                   "contradicts [entry] caller_address") !=
          std::string::npos);
  }
  SECTION("a value that is already reported gets no second error") {
    CHECK(OnlyProblem(ParseWithRequiredKeys("[batch]\nticket_ms = 1\n"))
              .find("from 100 to 60000, in ms") != std::string::npos);
  }
}

TEST_CASE("absent keys of a valid file get their defaults", "[settings]") {
  const loaded_settings loaded =
      ParseWithRequiredKeys("; a comment\n[front]\nread_timeout_ms = 2500\n");
  REQUIRE(loaded.problems.empty());
  CHECK(loaded.values.front().read_timeout_ms() == 2500);
  CHECK(loaded.values.front().idle_timeout_ms() == 30000);
  CHECK(loaded.values.batch().ticket_ms() == 6000);
  CHECK(loaded.values.log().level() == "info");
}

// Guards against a `dev` site that lacks defaults which settings from a file
// have.
TEST_CASE("default settings equal those of a file without optional keys",
          "[settings]") {
  schema::settings of_file = ParseWithRequiredKeys("").values;
  schema::settings defaults = DefaultSettings();
  of_file.clear_entry();
  defaults.clear_entry();
  of_file.mutable_platform()->clear_store_address();
  of_file.mutable_platform()->clear_host_list_address();
  CHECK(of_file.SerializeAsString() == defaults.SerializeAsString());
}

// Guards against terminal control codes in an error message.
TEST_CASE("control characters are escaped in a settings error", "[settings]") {
  const std::string problem =
      OnlyProblem(ParseWithRequiredKeys("[log]\nlevel = \x1b[31mred\n"));
  CHECK(problem.find("'\\x1B[31mred'") != std::string::npos);
}

TEST_CASE("an address is an IP address with a port", "[settings]") {
  CHECK(IsAddress("127.0.0.1:1"));
  CHECK(IsAddress("[::1]:65535"));
  for (const std::string text :
       {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536",
        "127.0.0.1: 80", "127.0.0.1:+80", "localhost:80", "::1:80",
        "[127.0.0.1]:80", "[]:80"}) {
    CAPTURE(text);
    CHECK_FALSE(IsAddress(text));
  }
}

// Generates distinct numeric keys with values within their own ranges.
rc::Gen<std::string> GenNumbersInRange() {
  return rc::gen::exec([] {
    std::string text;
    const auto& type = *schema::settings::descriptor();
    for (int index = 0; index < type.field_count(); ++index) {
      text += "[" + type.field(index)->name() + "]\n";
      const auto& keys = *type.field(index)->message_type();
      for (int key = 0; key < keys.field_count(); ++key) {
        const FieldDescriptor& field = *keys.field(key);
        const auto& rule = field.options().GetExtension(schema::rule);
        const bool set = field.cpp_type() == FieldDescriptor::CPPTYPE_INT64 &&
                         *rc::gen::inRange(0, 4) == 0;
        if (!set) continue;
        text += field.name() + " = " +
                std::to_string(*rc::gen::inRange<std::int64_t>(
                    rule.minimum(), rule.maximum() + 1)) +
                "\n";
      }
    }
    return text;
  });
}

// Generates lines that are valid or nearly valid, so that files are both
// accepted and rejected.
rc::Gen<std::string> GenFile() {
  const auto section = rc::gen::element<std::string>(
      "entry", "platform", "front", "batch", "log", "fornt", "");
  std::vector<std::string> names{"", "x", "Threads", "a.b"};
  const auto& type = *schema::settings::descriptor();
  for (int index = 0; index < type.field_count(); ++index) {
    const auto& keys = *type.field(index)->message_type();
    for (int key = 0; key < keys.field_count(); ++key)
      names.push_back(keys.field(key)->name());
  }
  const auto value = rc::gen::oneOf(
      rc::gen::element<std::string>("127.0.0.1:8080", "127.0.0.1:9", "entry-1",
                                    "info", "${x}", "1,0", "", "[front]"),
      rc::gen::map(rc::gen::arbitrary<std::int64_t>(),
                   [](std::int64_t number) { return std::to_string(number); }),
      rc::gen::map(rc::gen::inRange(0, 30000),
                   [](int number) { return std::to_string(number); }),
      rc::gen::string<std::string>());
  const auto key_line = rc::gen::map(
      rc::gen::pair(rc::gen::elementOf(names), value),
      [](const auto& pair) { return pair.first + " = " + pair.second + "\n"; });
  const auto header = rc::gen::map(
      section, [](const std::string& name) { return "[" + name + "]\n"; });
  const auto lines = rc::gen::map(
      rc::gen::container<std::vector<std::string>>(
          rc::gen::weightedOneOf<std::string>({{4, key_line}, {1, header}})),
      [](const std::vector<std::string>& parts) {
        std::string text;
        for (const std::string& part : parts) text += part;
        return text;
      });
  // Some files start with the required keys, so that they can be valid.
  return rc::gen::oneOf(
      lines, rc::gen::map(rc::gen::oneOf(lines, GenNumbersInRange()),
                          [](const std::string& more) {
                            return std::string(kEntrySection) +
                                   std::string(kPlatformSection) + more;
                          }));
}

void CheckWithinRule(const FieldDescriptor& field,
                     const google::protobuf::Message& section) {
  const schema::setting_rule& rule = field.options().GetExtension(schema::rule);
  const auto& reflection = *section.GetReflection();
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_INT64) {
    const std::int64_t value = reflection.GetInt64(section, &field);
    RC_ASSERT(value >= rule.minimum());
    RC_ASSERT(value <= rule.maximum());
  } else if (rule.required()) {
    RC_ASSERT(!reflection.GetString(section, &field).empty());
  }
}

// Guards against a file that is accepted in part, or rejected without naming
// the section and key.
TEST_CASE("any file is accepted whole or rejected with section and key",
          "[settings][property]") {
  rc::prop("accepted values satisfy their rules, problems name the key", [] {
    const loaded_settings loaded = Parse(*GenFile());
    RC_CLASSIFY(loaded.problems.empty(), "accepted");
    for (const settings_problem& problem : loaded.problems) {
      const bool is_section =
          problem.detail.find("section") != std::string::npos;
      const bool names_key = !problem.section.empty() || !problem.key.empty();
      RC_ASSERT(problem.file == "entry.ini");
      RC_ASSERT(is_section || names_key);
      RC_ASSERT(problem.detail.find("allowed") != std::string::npos);
    }
    if (!loaded.problems.empty()) return;
    const auto& type = *schema::settings::descriptor();
    const auto& reflection = *loaded.values.GetReflection();
    for (int index = 0; index < type.field_count(); ++index) {
      const auto& section =
          reflection.GetMessage(loaded.values, type.field(index));
      const auto& keys = *type.field(index)->message_type();
      for (int key = 0; key < keys.field_count(); ++key)
        CheckWithinRule(*keys.field(key), section);
    }
    RC_ASSERT(loaded.values.batch().ticket_ms() >
              2 * loaded.values.batch().sync_ms());
    RC_ASSERT(loaded.values.batch().task_lease_ms() >
              loaded.values.batch().ticket_ms());
    RC_ASSERT(loaded.values.entry().caller_address() !=
              loaded.values.entry().peer_address());
  });
  // A single value is accepted if and only if it is a plain number in range.
  rc::prop("a number is accepted if and only if it is in range", [] {
    const std::string text = *rc::gen::oneOf(
        rc::gen::map(rc::gen::arbitrary<std::int64_t>(),
                     [](std::int64_t value) { return std::to_string(value); }),
        rc::gen::map(rc::gen::inRange(-10, 5000),
                     [](int value) { return std::to_string(value); }));
    const std::int64_t number = std::stoll(text);
    const bool accepted =
        ParseWithRequiredKeys("[front]\nthreads = " + text + "\n")
            .problems.empty();
    RC_ASSERT(accepted == (number >= 1 && number <= 4096));
  });
}

}  // namespace
}  // namespace waxwingfront::settings
