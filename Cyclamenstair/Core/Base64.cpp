#include <Cyclamenstair/Core/Base64.h>

#include <Cyclamenstair/Core/Error.h>

#include <openssl/evp.h>

namespace cyclamenstair {

std::string encodeBase64(std::string_view bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
        reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<size_t>(length));
    return text;
}

std::string decodeBase64(std::string_view text)
{
    std::string bytes(text.size() / 4 * 3 + 1, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
        reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
    if (length < 0 || text.size() % 4 != 0)
        throw Exception({ ErrorKind::InvalidInput, "base64.decode", "",
            "malformed base64: expected padded groups of 4 characters of the base64 alphabet" });
    // EVP_DecodeBlock decodes padding to zero bytes and includes them in the length.
    size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<size_t>(length) - padding);
    return bytes;
}

} // namespace cyclamenstair
