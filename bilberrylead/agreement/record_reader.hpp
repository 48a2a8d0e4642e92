#ifndef BILBERRYLEAD_AGREEMENT_RECORD_READER_HPP
#define BILBERRYLEAD_AGREEMENT_RECORD_READER_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/error.hpp"

#include <absl/status/status.h>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace bilberrylead::agreement
{

/// Reads the fields of one decoded record of any content. Keeps the first
/// error; after it every field reads as empty, so that callers need no branch
/// per field.
class record_reader
{
public:
    /// Reads a top-level record, which must outlive the reader.
    explicit record_reader(nlohmann::json const& record);

    /// Reads a nested record and reports errors to the outer reader. Both
    /// arguments must outlive the reader.
    record_reader(nlohmann::json const& record, record_reader const& outer);

    record_reader(record_reader const&) = delete;
    record_reader& operator=(record_reader const&) = delete;

    /// The first error, or OK.
    absl::Status const& status() const;

    /// Reads an unsigned integer.
    std::uint64_t number(char const* name);
    /// Reads an unsigned integer, or returns `fallback` if the field does not
    /// exist.
    std::uint64_t number_or(char const* name, std::uint64_t fallback);
    /// Reads an unsigned integer; empty if the field does not exist.
    std::optional<std::uint64_t> optional_number(char const* name);
    /// Reads a boolean.
    bool flag(char const* name);
    /// Reads a string.
    std::string text(char const* name);
    /// Reads a byte string.
    bytes binary(char const* name);
    /// Returns a field for a nested reader.
    nlohmann::json const& record(char const* name);
    /// Returns an array; an empty one after an error.
    nlohmann::json const& list(char const* name);

    /// Records an error, unless there is one already.
    void fail(error_kind kind, std::string_view message);

private:
    void check_object();
    nlohmann::json const* field(char const* name);
    void fail_type(char const* name, char const* expected);

    nlohmann::json const& source;
    absl::Status own_error;
    absl::Status& first_error;
};

} // namespace bilberrylead::agreement

#endif
