#include "waxwingfront/core/json_object.h"

#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

#include <algorithm>

namespace waxwingfront::core {
namespace {

using rapidjson::SizeType;

// True if an escape such as \udead left half of a surrogate pair, which is no
// UTF-8. The parser reports only a missing second half.
bool HasLoneSurrogate(std::string_view text) {
  constexpr char kLead = '\xed';
  constexpr unsigned char kFirstSurrogate = 0xa0;
  return std::adjacent_find(text.begin(), text.end(), [](char a, char b) {
           return a == kLead &&
                  static_cast<unsigned char>(b) >= kFirstSurrogate;
         }) != text.end();
}

// Builds a document from the parser's events; ends the parser at the first
// level beyond `kMaxJsonDepth` and at text that is not UTF-8.
class depth_limited_document : public rapidjson::Document {
 public:
  bool StartObject() { return Enter() && rapidjson::Document::StartObject(); }
  bool EndObject(SizeType members) {
    --depth_;
    return rapidjson::Document::EndObject(members);
  }
  bool String(const char* text, SizeType size, bool copy) {
    return !HasLoneSurrogate({text, size}) &&
           rapidjson::Document::String(text, size, copy);
  }
  bool Key(const char* text, SizeType size, bool copy) {
    return String(text, size, copy);
  }
  bool StartArray() { return Enter() && rapidjson::Document::StartArray(); }
  bool EndArray(SizeType elements) {
    --depth_;
    return rapidjson::Document::EndArray(elements);
  }

 private:
  bool Enter() { return ++depth_ <= kMaxJsonDepth; }

  int depth_ = 0;
};

}  // namespace

std::optional<rapidjson::Document> ParseJsonObject(std::string_view text) {
  depth_limited_document document;
  rapidjson::MemoryStream bytes(text.data(), text.size());
  rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream>
      stream(bytes);
  rapidjson::Reader reader;
  const auto parse = [&](rapidjson::Document&) {
    return !reader
                .Parse<rapidjson::kParseIterativeFlag |
                       rapidjson::kParseValidateEncodingFlag>(stream, document)
                .IsError();
  };
  document.Populate(parse);
  if (reader.HasParseError() || !document.IsObject()) return std::nullopt;
  return std::optional<rapidjson::Document>(std::move(document));
}

}  // namespace waxwingfront::core
