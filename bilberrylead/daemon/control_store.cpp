#include "bilberrylead/daemon/control_store.hpp"

#include "bilberrylead/agreement/codec.hpp"
#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"
#include "bilberrylead/store/recovered_state.hpp"

#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace bilberrylead::daemon
{

namespace
{

constexpr std::uint64_t founder_incarnation = 1;

std::uint64_t incarnation_from_clock()
{
    std::chrono::milliseconds const since_epoch =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
    return static_cast<std::uint64_t>(since_epoch.count());
}

absl::Status unreadable(absl::Status const& why)
{
    return make_error(error_kind::corrupt,
                      "The data folder holds what this version cannot read (" +
                          std::string(why.message()) + ").",
                      "Start the version that wrote it, or move the folder "
                      "away and let the host join anew.");
}

} // namespace

control_store::control_store(store::journal opened) : journal(std::move(opened))
{
}

absl::StatusOr<control_store>
control_store::open(std::filesystem::path const& folder)
{
    absl::StatusOr<store::journal> opened = store::journal::open(folder);
    if (!opened.ok())
    {
        return opened.status();
    }
    control_store store(std::move(*opened));
    absl::Status read = store.read();
    if (!read.ok())
    {
        return read;
    }
    return store;
}

absl::Status control_store::read()
{
    store::recovered_state& content = this->journal.recovered();

    // Term and vote, and which life of the disk this is.
    if (content.state.has_value())
    {
        absl::StatusOr<cbor_fields> fields = cbor_fields::parse(*content.state);
        if (!fields.ok())
        {
            return unreadable(fields.status());
        }
        this->incarnation_number = fields->take_unsigned();
        absl::StatusOr<agreement::hard_state> state =
            agreement::decode_hard_state(fields->take_bytes());
        if (!state.ok())
        {
            return unreadable(state.status());
        }
        this->found.hard_state = *state;
    }
    else
    {
        this->incarnation_number = incarnation_from_clock();
        absl::Status written = this->write_state({});
        if (written.ok())
        {
            written = this->journal.sync();
        }
        if (!written.ok())
        {
            return written;
        }
    }

    // The snapshot, and the entries after it.
    if (content.snapshot.has_value())
    {
        absl::StatusOr<agreement::snapshot> snapshot =
            agreement::decode_snapshot(content.snapshot->content);
        if (!snapshot.ok())
        {
            return unreadable(snapshot.status());
        }
        this->found.snapshot = std::move(*snapshot);
    }
    for (store::journal_entry const& record : content.entries)
    {
        absl::StatusOr<agreement::log_entry> entry =
            agreement::decode_entry(record.content);
        if (!entry.ok())
        {
            return unreadable(entry.status());
        }
        this->found.entries.push_back(std::move(*entry));
    }
    content = {};
    return absl::OkStatus();
}

agreement::started& control_store::recovered()
{
    return this->found;
}

agreement::started const& control_store::recovered() const
{
    return this->found;
}

std::uint64_t control_store::incarnation() const
{
    return this->incarnation_number;
}

absl::Status control_store::become_founder()
{
    this->incarnation_number = founder_incarnation;
    absl::Status written = this->write_state({});
    if (!written.ok())
    {
        return written;
    }
    return this->journal.sync();
}

absl::Status
control_store::carry_out(agreement::persist_hard_state const& effect)
{
    return this->write_state(effect.state);
}

absl::Status control_store::carry_out(agreement::append_entries const& effect)
{
    std::uint64_t index = effect.from_index;
    for (agreement::log_entry const& entry : effect.entries)
    {
        absl::Status appended =
            this->journal.append(index, agreement::encode_entry(entry));
        if (!appended.ok())
        {
            return appended;
        }
        ++index;
    }
    return absl::OkStatus();
}

absl::Status control_store::carry_out(agreement::persist_snapshot const& effect)
{
    std::uint64_t const index = effect.snapshot.last_index;

    // Entries that the snapshot contradicts go first. After a crash between
    // the two they would stand behind a newer snapshot, and the host would
    // judge candidates by their older term: it could help one into office
    // that lacks committed entries.
    if (effect.discard_log && this->journal.last_index() > index)
    {
        absl::Status dropped = this->journal.truncate_after(index);
        if (!dropped.ok())
        {
            return dropped;
        }
    }
    return this->journal.install_snapshot(
        index, agreement::encode_snapshot(effect.snapshot));
}

absl::Status control_store::carry_out(agreement::sync const&)
{
    return this->journal.sync();
}

std::uint64_t control_store::journal_bytes() const
{
    return this->journal.file_bytes();
}

absl::Status control_store::write_state(agreement::hard_state const& state)
{
    nlohmann::json record = nlohmann::json::array();
    record.push_back(this->incarnation_number);
    record.push_back(
        nlohmann::json::binary(agreement::encode_hard_state(state)));
    bytes encoded;
    append_cbor(record, encoded);
    return this->journal.set_state(encoded);
}

} // namespace bilberrylead::daemon
