#include "waxwingfront/bundle/document_check.h"

#include <Poco/JSON/Handler.h>
#include <Poco/JSON/Parser.h>
#include <google/protobuf/descriptor.h>

#include <charconv>
#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <system_error>
#include <utility>

namespace waxwingfront::bundle {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

// The schema has fewer nesting levels than this.
constexpr std::size_t kMaxDepth = 16;
constexpr std::string_view kDocument = "document";

const FieldDescriptor* FindField(const Descriptor& type,
                                 const std::string& name) {
  const FieldDescriptor* found = type.FindFieldByName(name);
  return found != nullptr ? found : type.FindFieldByCamelcaseName(name);
}

std::string FieldNames(const Descriptor& type) {
  std::string names;
  for (int index = 0; index < type.field_count(); ++index) {
    names += (index == 0 ? "" : ", ") + type.field(index)->name();
  }
  return names;
}

std::optional<std::int64_t> ToInteger(const std::string& text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  return whole ? std::optional(number) : std::nullopt;
}

// The field that the next value of the document is assigned to.
struct value_slot {
  // Null inside a part that has already been reported.
  const FieldDescriptor* field = nullptr;
  bool expects_list = false;
  std::string path;
};

std::string AllowedValues(const value_slot& slot) {
  if (slot.expects_list) return "a list";
  switch (slot.field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return "an object";
    case FieldDescriptor::CPPTYPE_STRING:
      return "a text";
    case FieldDescriptor::CPPTYPE_BOOL:
      return "true or false";
    case FieldDescriptor::CPPTYPE_DOUBLE:
      return "a number";
    case FieldDescriptor::CPPTYPE_INT32:
      return "a whole number of 32 bits";
    default:
      return "a whole number of 64 bits";
  }
}

class document_validator : public Poco::JSON::Handler {
 public:
  explicit document_validator(const Descriptor& type) : type_(type) {}

  std::vector<bundle_problem> TakeProblems() { return std::move(problems_); }

  void reset() override {}

  void startObject() override {
    if (levels_.empty()) {
      levels_.push_back({.type = &type_});
      return;
    }
    value_slot slot = NextSlot();
    const bool fits = slot.field != nullptr && !slot.expects_list &&
                      slot.field->message_type() != nullptr;
    if (!fits) Report(slot);
    levels_.push_back({.type = fits ? slot.field->message_type() : nullptr,
                       .path = std::move(slot.path)});
  }

  void endObject() override { levels_.pop_back(); }

  void startArray() override {
    value_slot slot = NextSlot();
    if (!slot.expects_list) Report(slot);
    levels_.push_back({.field = slot.expects_list ? slot.field : nullptr,
                       .is_list = true,
                       .path = std::move(slot.path)});
  }

  void endArray() override { levels_.pop_back(); }

  void key(const std::string& name) override {
    level& object = levels_.back();
    object.field = nullptr;
    // An empty name is quoted, since its path would be empty otherwise.
    const std::string shown = name.empty() ? R"("")" : name;
    object.value_path = object.path.empty() ? shown : object.path + "." + shown;
    if (object.type == nullptr) return;
    object.field = FindField(*object.type, name);
    if (object.field == nullptr) {
      problems_.push_back({.field = object.value_path,
                           .allowed = "only " + FieldNames(*object.type)});
    } else if (!object.seen.insert(object.field->number()).second) {
      problems_.push_back(
          {.field = object.value_path, .allowed = "one value of this name"});
    }
  }

  void null() override { Report(NextSlot()); }
  void value(int number) override { CheckInteger(number); }
  void value(unsigned number) override { CheckInteger(number); }
  void value(Poco::Int64 number) override { CheckInteger(number); }
  void value(Poco::UInt64 number) override {
    if (number <=
        static_cast<Poco::UInt64>(std::numeric_limits<std::int64_t>::max())) {
      CheckInteger(static_cast<std::int64_t>(number));
    } else {
      value(static_cast<double>(number));
    }
  }
  void value(const std::string& text) override {
    const value_slot slot = NextSlot();
    if (IsSingle(slot, FieldDescriptor::CPPTYPE_STRING)) return;
    // protobuf writes 64-bit integers as JSON strings, so both forms are
    // accepted.
    const bool is_integer = IsSingle(slot, FieldDescriptor::CPPTYPE_INT64) &&
                            ToInteger(text).has_value();
    if (!is_integer) Report(slot);
  }
  void value(double number) override {
    const value_slot slot = NextSlot();
    const bool fits = IsSingle(slot, FieldDescriptor::CPPTYPE_DOUBLE) &&
                      std::isfinite(number);
    if (!fits) Report(slot);
  }
  void value(bool /*truth*/) override {
    const value_slot slot = NextSlot();
    if (!IsSingle(slot, FieldDescriptor::CPPTYPE_BOOL)) Report(slot);
  }

 private:
  // An open object or list of the document.
  struct level {
    // Message type of an object; null inside a part that has already been
    // reported.
    const Descriptor* type = nullptr;
    // Field of the next value.
    const FieldDescriptor* field = nullptr;
    bool is_list = false;
    std::string path;
    // Path of the next value of an object.
    std::string value_path;
    // Index of the next value of a list.
    int index = 0;
    // Numbers of the fields that have occurred, to detect duplicates.
    std::set<int> seen;
  };

  static bool IsSingle(const value_slot& slot, FieldDescriptor::CppType kind) {
    return slot.field != nullptr && !slot.expects_list &&
           slot.field->cpp_type() == kind;
  }

  value_slot NextSlot() {
    if (levels_.empty()) {
      problems_.push_back(
          {.field = std::string(kDocument), .allowed = "an object"});
      return {.path = std::string(kDocument)};
    }
    level& top = levels_.back();
    if (top.is_list) {
      return {.field = top.field,
              .path = top.path + "[" + std::to_string(top.index++) + "]"};
    }
    return {.field = top.field,
            .expects_list = top.field != nullptr && top.field->is_repeated(),
            .path = top.value_path};
  }

  void Report(const value_slot& slot) {
    if (slot.field == nullptr) return;
    problems_.push_back({.field = slot.path, .allowed = AllowedValues(slot)});
  }

  void CheckInteger(std::int64_t number) {
    const value_slot slot = NextSlot();
    if (IsSingle(slot, FieldDescriptor::CPPTYPE_INT64)) return;
    if (IsSingle(slot, FieldDescriptor::CPPTYPE_DOUBLE)) return;
    const bool fits = IsSingle(slot, FieldDescriptor::CPPTYPE_INT32) &&
                      number >= std::numeric_limits<std::int32_t>::min() &&
                      number <= std::numeric_limits<std::int32_t>::max();
    if (!fits) Report(slot);
  }

  const Descriptor& type_;
  std::vector<level> levels_;
  std::vector<bundle_problem> problems_;
};

}  // namespace

std::vector<bundle_problem> CheckDocument(std::string_view json,
                                          const Descriptor& type) {
  Poco::SharedPtr<document_validator> validator(new document_validator(type));
  Poco::JSON::Parser parser(validator);
  parser.setDepth(kMaxDepth);
  try {
    parser.parse(std::string(json));
  } catch (const std::exception&) {
    std::vector<bundle_problem> problems = validator->TakeProblems();
    problems.push_back(
        {.field = std::string(kDocument), .allowed = "well-formed JSON"});
    return problems;
  }
  return validator->TakeProblems();
}

}  // namespace waxwingfront::bundle
