#ifndef BILBERRYLEAD_CORE_CBOR_READER_HPP
#define BILBERRYLEAD_CORE_CBOR_READER_HPP

#include "bilberrylead/core/bytes.hpp"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace bilberrylead
{

/// Reads typed fields out of a CBOR map that may come from anybody. The
/// first field that is missing or of the wrong type makes the reader bad;
/// every later read gives the type's empty value, so that callers check
/// once, at the end, and no read throws.
class cbor_reader
{
public:
    /// Decodes the map. Bytes that are no CBOR map make the reader bad.
    explicit cbor_reader(bytes const& encoded);

    /// Reads a map that is already decoded; `map` must outlive the reader.
    explicit cbor_reader(nlohmann::json map);

    /// An unsigned number of at most `largest`.
    std::uint64_t number(char const* field, std::uint64_t largest = UINT64_MAX);

    /// A truth value.
    bool truth(char const* field);

    /// A text of at most `longest` bytes.
    std::string text(char const* field, std::size_t longest = 1024);

    /// A byte string of at most `longest` bytes.
    bytes byte_string(char const* field,
                      std::size_t longest = std::size_t{64} << 20U);

    /// A nested map.
    cbor_reader map(char const* field);

    /// True while every read so far found what it asked for.
    bool good() const;

    /// The first field that failed, for the error's message.
    std::string const& bad_field() const;

private:
    nlohmann::json const* find(char const* field);
    void fail(char const* field);

    nlohmann::json value;
    bool is_good = true;
    std::string failed_field;
};

/// Encodes a CBOR map.
bytes to_cbor_bytes(nlohmann::json const& map);

/// A byte string as a CBOR value.
nlohmann::json cbor_bytes(bytes const& content);

} // namespace bilberrylead

#endif
