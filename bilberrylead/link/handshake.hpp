#ifndef BILBERRYLEAD_LINK_HANDSHAKE_HPP
#define BILBERRYLEAD_LINK_HANDSHAKE_HPP

#include "bilberrylead/core/bytes.hpp"
#include "bilberrylead/link/peer_identity.hpp"

#include <absl/status/statusor.h>

#include <string_view>

namespace bilberrylead::link
{

/// Opens a handshake: the side that was called asks for a proof.
struct challenge
{
    /// Fresh random bytes, so that no old proof can be sent again.
    bytes nonce;
};

/// Answers a challenge: who calls, and a proof that it knows the key.
struct hello
{
    /// Who calls.
    peer_identity self;
    /// Fresh random bytes for the other side's proof.
    bytes nonce;
    /// Keyed digest over both nonces and the identity.
    bytes proof;
};

/// Ends a handshake: who was called, and its own proof.
struct welcome
{
    /// Who was called.
    peer_identity self;
    /// Keyed digest over both nonces and the identity.
    bytes proof;
};

/// Fresh random bytes from the operating system.
bytes make_nonce();

/// The proof of one side: a keyed digest (HMAC-SHA256) over which side it
/// is, both nonces and who it says it is. A proof of one side is none of
/// the other, so that a message cannot be played back to its sender.
bytes make_proof(std::string_view key, std::string_view side,
                 bytes const& challenge_nonce, bytes const& hello_nonce,
                 peer_identity const& identity);

/// Compares two proofs in a time that does not depend on their content.
bool same_proof(bytes const& left, bytes const& right);

/// Encodes a message of the handshake.
bytes encode(challenge const& message);
bytes encode(hello const& message);
bytes encode(welcome const& message);

/// Decodes; kind `not_trusted` for anything that is no such message.
absl::StatusOr<challenge> decode_challenge(bytes const& encoded);
absl::StatusOr<hello> decode_hello(bytes const& encoded);
absl::StatusOr<welcome> decode_welcome(bytes const& encoded);

} // namespace bilberrylead::link

#endif
