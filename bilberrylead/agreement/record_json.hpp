#ifndef BILBERRYLEAD_AGREEMENT_RECORD_JSON_HPP
#define BILBERRYLEAD_AGREEMENT_RECORD_JSON_HPP

#include "bilberrylead/agreement/hard_state.hpp"
#include "bilberrylead/agreement/log_entry.hpp"
#include "bilberrylead/agreement/membership.hpp"
#include "bilberrylead/agreement/message.hpp"
#include "bilberrylead/agreement/record_reader.hpp"
#include "bilberrylead/agreement/snapshot.hpp"

#include <nlohmann/json_fwd.hpp>

namespace bilberrylead::agreement
{

/// Converts a record to the JSON value that is encoded as CBOR.
nlohmann::json write_record(member const& value);
/// As above.
nlohmann::json write_record(membership const& value);
/// As above.
nlohmann::json write_record(log_entry const& value);
/// As above.
nlohmann::json write_record(hard_state const& value);
/// As above.
nlohmann::json write_record(snapshot const& value);
/// As above.
nlohmann::json write_record(append_request const& value);
/// As above.
nlohmann::json write_record(install_snapshot_request const& value);
/// As above.
nlohmann::json write_record(message const& value);

/// Reads a record; the reader keeps the first error.
template <class Record>
Record read_record(record_reader& reader);

template <>
member read_record<member>(record_reader& reader);
template <>
membership read_record<membership>(record_reader& reader);
template <>
log_entry read_record<log_entry>(record_reader& reader);
template <>
hard_state read_record<hard_state>(record_reader& reader);
template <>
snapshot read_record<snapshot>(record_reader& reader);
template <>
append_request read_record<append_request>(record_reader& reader);
template <>
install_snapshot_request
read_record<install_snapshot_request>(record_reader& reader);
template <>
message read_record<message>(record_reader& reader);

} // namespace bilberrylead::agreement

#endif
