#include <Cyclamenstair/Core/Crypto.h>

#include <Cyclamenstair/Core/Error.h>

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <openssl/sha.h>

namespace cyclamenstair {

namespace {

    constexpr size_t idBytes = 16;

    std::string toHex(std::string_view bytes)
    {
        constexpr char digits[] = "0123456789abcdef";
        std::string text;
        text.reserve(bytes.size() * 2);
        for (const unsigned char byte : bytes) {
            text += digits[byte >> 4];
            text += digits[byte & 15];
        }
        return text;
    }

} // namespace

std::string randomBytes(size_t count)
{
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1)
        throw Exception({ ErrorKind::Internal, "crypto.random", "", "the operating system returned no random bytes" });
    return bytes;
}

std::string randomId() { return toHex(randomBytes(idBytes)); }

std::string sha256Hex(std::string_view bytes)
{
    std::string hash(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
        reinterpret_cast<unsigned char*>(hash.data()));
    return toHex(hash);
}

std::string hmacSha256(std::string_view key, std::string_view bytes)
{
    std::string code(EVP_MAX_MD_SIZE, '\0');
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(bytes.data()),
        bytes.size(), reinterpret_cast<unsigned char*>(code.data()), &size);
    code.resize(size);
    return code;
}

bool equalsConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::string hashToken(std::string_view token)
{
    const std::string salt = randomId();
    return salt + "$" + sha256Hex(salt + std::string(token));
}

bool verifyToken(std::string_view token, std::string_view hash)
{
    const auto separator = hash.find('$');
    if (separator == std::string_view::npos)
        return false;
    const std::string salted = std::string(hash.substr(0, separator)) + std::string(token);
    return equalsConstantTime(sha256Hex(salted), hash.substr(separator + 1));
}

} // namespace cyclamenstair
