#ifndef BILBERRYLEAD_AGREEMENT_RECORD_READER_HPP
#define BILBERRYLEAD_AGREEMENT_RECORD_READER_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/core/error.hpp"

#include <absl/status/status.h>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace bilberrylead::agreement
{

/// Reads the fields of one decoded record, whatever they turn out to be.
/// The first error is kept; from then on every field reads as empty, so
/// that a record is read without a branch per field.
class record_reader
{
public:
    /// Reads an outermost record, which must outlive the reader.
    explicit record_reader(nlohmann::json const& record);

    /// Reads a record inside another; its errors are the outer one's.
    record_reader(nlohmann::json const& record, record_reader const& outer);

    record_reader(record_reader const&) = delete;
    record_reader& operator=(record_reader const&) = delete;

    /// The first error, or OK.
    absl::Status const& status() const;

    /// A whole number from 0.
    std::uint64_t number(char const* name);
    /// A whole number from 0, or `missing` if there is no such field.
    std::uint64_t number_or(char const* name, std::uint64_t fallback);
    /// True or false.
    bool flag(char const* name);
    /// A text.
    std::string text(char const* name);
    /// A byte string.
    bytes binary(char const* name);
    /// A field for an inner reader.
    nlohmann::json const& record(char const* name);
    /// A list; an empty one after an error.
    nlohmann::json const& list(char const* name);

    /// Notes an error, unless there was one before.
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
