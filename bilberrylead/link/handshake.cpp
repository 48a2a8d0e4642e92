#include "bilberrylead/link/handshake.hpp"

#include "bilberrylead/core/cbor.hpp"
#include "bilberrylead/core/cbor_fields.hpp"
#include "bilberrylead/core/error.hpp"

#include <nlohmann/json.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstddef>
#include <string>

namespace bilberrylead::link
{

namespace
{

constexpr std::size_t nonce_size = 32;
constexpr std::size_t proof_size = 32;
constexpr std::size_t longest_host_id = 128;

absl::Status not_a_handshake(std::string_view message)
{
    return make_error(error_kind::not_trusted,
                      "The other side sent no valid " + std::string(message) +
                          ".",
                      "Check that both sides run this system and that the "
                      "address is a peer address.");
}

void put_identity(peer_identity const& identity, nlohmann::json& record)
{
    record.push_back(identity.id.text());
    record.push_back(static_cast<std::uint64_t>(identity.role));
    record.push_back(identity.incarnation);
}

peer_identity take_identity(cbor_fields& fields)
{
    peer_identity identity;
    identity.id = host_id(fields.take_text(longest_host_id));
    std::uint64_t const role = fields.take_unsigned();
    identity.role = role == static_cast<std::uint64_t>(peer_role::control)
                        ? peer_role::control
                        : peer_role::entry;
    identity.incarnation = fields.take_unsigned();
    return identity;
}

bytes encode_record(nlohmann::json const& record)
{
    bytes output;
    append_cbor(record, output);
    return output;
}

/// Appends a part with its length before it, so that no two different lists
/// of parts give the same text.
void append_part(std::string& text, std::string_view part)
{
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

std::string_view as_text(bytes const& content)
{
    return {reinterpret_cast<char const*>(content.data()), content.size()};
}

} // namespace

bytes make_nonce()
{
    bytes nonce(nonce_size);
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1)
    {
        // Without random bytes an old proof would be accepted again.
        OPENSSL_die("no random bytes", __FILE__, __LINE__);
    }
    return nonce;
}

bytes make_proof(std::string_view key, std::string_view side,
                 bytes const& challenge_nonce, bytes const& hello_nonce,
                 peer_identity const& identity)
{
    std::string text;
    append_part(text, side);
    append_part(text, as_text(challenge_nonce));
    append_part(text, as_text(hello_nonce));
    append_part(text, identity.id.text());
    append_part(text, std::to_string(static_cast<unsigned>(identity.role)));
    append_part(text, std::to_string(identity.incarnation));

    bytes proof(proof_size);
    unsigned int written = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<unsigned char const*>(text.data()), text.size(),
         proof.data(), &written);
    return proof;
}

bool same_proof(bytes const& left, bytes const& right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bytes encode(challenge const& message)
{
    nlohmann::json record = nlohmann::json::array();
    record.push_back(nlohmann::json::binary(message.nonce));
    return encode_record(record);
}

bytes encode(hello const& message)
{
    nlohmann::json record = nlohmann::json::array();
    put_identity(message.self, record);
    record.push_back(nlohmann::json::binary(message.nonce));
    record.push_back(nlohmann::json::binary(message.proof));
    return encode_record(record);
}

bytes encode(welcome const& message)
{
    nlohmann::json record = nlohmann::json::array();
    put_identity(message.self, record);
    record.push_back(nlohmann::json::binary(message.proof));
    return encode_record(record);
}

absl::StatusOr<challenge> decode_challenge(bytes const& encoded)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::parse(encoded);
    if (!fields.ok())
    {
        return not_a_handshake("challenge");
    }
    challenge message;
    message.nonce = fields->take_bytes();
    if (!fields->complete() || message.nonce.size() != nonce_size)
    {
        return not_a_handshake("challenge");
    }
    return message;
}

absl::StatusOr<hello> decode_hello(bytes const& encoded)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::parse(encoded);
    if (!fields.ok())
    {
        return not_a_handshake("hello");
    }
    hello message;
    message.self = take_identity(*fields);
    message.nonce = fields->take_bytes();
    message.proof = fields->take_bytes();
    if (!fields->complete() || message.nonce.size() != nonce_size)
    {
        return not_a_handshake("hello");
    }
    return message;
}

absl::StatusOr<welcome> decode_welcome(bytes const& encoded)
{
    absl::StatusOr<cbor_fields> fields = cbor_fields::parse(encoded);
    if (!fields.ok())
    {
        return not_a_handshake("welcome");
    }
    welcome message;
    message.self = take_identity(*fields);
    message.proof = fields->take_bytes();
    if (!fields->complete())
    {
        return not_a_handshake("welcome");
    }
    return message;
}

} // namespace bilberrylead::link
