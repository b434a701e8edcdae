#pragma once

#include <Cyclamenstair/Core/Result.h>

#include <memory>
#include <mutex>
#include <string>

typedef struct ssl_st SSL;
typedef struct ssl_ctx_st SSL_CTX;

namespace cyclamenstair {

/// Certificate and private key of a listener. Both can be reloaded while the listener runs: open connections continue
/// with the old ones, new connections use the new ones. Thread-safe.
class TlsIdentity {
public:
    /// Reads both PEM files and checks that the key belongs to the certificate.
    static Result<std::unique_ptr<TlsIdentity>> create(const std::string& certificatePath, const std::string& keyPath);
    ~TlsIdentity();

    /// Reloads both files. After an error the current certificate and key stay in use.
    std::optional<Error> reload();

    /// Makes new connections of `context` use the current certificate. The identity must outlive the context.
    void attachTo(SSL_CTX& context);

private:
    struct Material;

    TlsIdentity(std::string certificatePath, std::string keyPath);

    Result<std::unique_ptr<Material>> readMaterial() const;
    bool applyTo(SSL& connection);

    std::string m_certificatePath;
    std::string m_keyPath;
    std::mutex m_mutex;
    std::unique_ptr<Material> m_material;
};

} // namespace cyclamenstair
