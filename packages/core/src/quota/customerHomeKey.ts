/** Home key of a customer: the host that owns this key counts the customer's requests for the whole fleet. */
export function customerHomeKey(customerId: string): string {
  return `customer@${customerId}`;
}
